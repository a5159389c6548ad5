package backend

import (
	"context"
	"fmt"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/promote"
	"trefoilcourse/coord/session"
	"trefoilcourse/wire/lsn"
)

const statusQuery = "SELECT pg_is_in_recovery(), current_setting('trefoil.term'), " +
	"current_setting('trefoil.incarnation'), current_setting('trefoil.log_term'), " +
	"pg_current_wal_insert_lsn(), pg_last_wal_receive_lsn()"

const followersQuery = "SELECT application_name, flush_lsn FROM pg_stat_replication"

// Client sends queries and orders to the backend servers of one group.
type Client struct {
	// Group is the database name to connect to.
	Group string
	// Dial opens connections; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (c *Client) connect(ctx context.Context, address string) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://trefoil-control@%s/%s?sslmode=disable", address, c.Group))
	if err != nil {
		return nil, err
	}
	if c.Dial != nil {
		cfg.DialFunc = c.Dial
	}
	cfg.RuntimeParams["application_name"] = "trefoil-control"
	return pgconn.ConnectConfig(ctx, cfg)
}

// Status queries the server at address; slots is the number of slots of the group. If the server does
// not answer, the status has no incarnation.
func (c *Client) Status(ctx context.Context, slot, address string, slots int) promote.Status {
	s := promote.Status{Slot: slot, QueriedAt: clock.Now()}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return s
	}
	defer func() { _ = conn.Close(ctx) }()
	results, err := conn.Exec(ctx, statusQuery+"; "+followersQuery).ReadAll()
	if err != nil || len(results) != 2 || len(results[0].Rows) != 1 {
		return s
	}
	answer, ok := parseStatus(s, results[0].Rows[0])
	if !ok {
		return s
	}
	followers := 0
	for _, row := range results[1].Rows {
		if at, err := lsn.Parse(string(row[1])); err == nil && at > 0 {
			followers++
		}
	}
	answer.HasMajority = 1+followers > slots/2
	return answer
}

func parseStatus(s promote.Status, row [][]byte) (promote.Status, bool) {
	term, err := strconv.ParseUint(string(row[1]), 10, 64)
	if err != nil {
		return s, false
	}
	logTerm, err := strconv.ParseUint(string(row[3]), 10, 64)
	if err != nil {
		return s, false
	}
	column := row[4]
	s.Primary = string(row[0]) == "f"
	if !s.Primary {
		column = row[5]
	}
	offset, err := lsn.Parse(string(column))
	if err != nil {
		return s, false
	}
	s.Term = term
	s.Position = session.Position{Term: logTerm, Offset: offset}
	s.Incarnation = string(row[2])
	return s, true
}

// Promote orders the server at address to lead a term if its data still has the given incarnation; it
// is idempotent.
func (c *Client) Promote(ctx context.Context, address string, term uint64, incarnation string) error {
	return c.order(ctx, address, fmt.Sprintf("SELECT trefoil_promote(%d, '%s')", term, incarnation))
}

// Follow orders the server at address to follow a term's primary; it is idempotent.
func (c *Client) Follow(ctx context.Context, address string, term uint64, primary string) error {
	return c.order(ctx, address, fmt.Sprintf("SELECT trefoil_follow(%d, '%s')", term, primary))
}

func (c *Client) order(ctx context.Context, address, query string) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, query).ReadAll()
	return err
}
