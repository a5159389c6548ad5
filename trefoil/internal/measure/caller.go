package measure

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"trefoilcourse/trefoil/internal/rig"
)

const (
	roamEvery     = 25
	failurePause  = 10 * time.Millisecond
	callTimeout   = 12 * time.Second
	tokenShare    = 0.5
	keyShare      = 0.1
	transactShare = 0.2
)

// caller is one session that roams between entry VMs.
type caller struct {
	run     *run
	name    string
	group   string
	random  *rand.Rand
	conn    *pgx.Conn
	address string
	floor   string
	count   int
	// row is the session's own row; sequence is the last acknowledged value, and unsure the
	// highest one that may have been written.
	exists   bool
	sequence int
	unsure   int
}

func (c *caller) loop(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect(ctx) {
			continue
		}
		c.act(ctx)
		c.count++
		if c.count%roamEvery == 0 {
			c.disconnect()
		}
		pause(ctx, time.Duration(c.random.ExpFloat64()*float64(c.run.deployment.think)))
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *caller) connect(ctx context.Context) bool {
	addresses := c.run.rig.CallerAddresses()
	if len(addresses) == 0 {
		pause(ctx, failurePause)
		return false
	}
	c.address = addresses[c.random.IntN(len(addresses))]
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", c.name, c.address, c.group))
	if err != nil {
		panic(err)
	}
	cfg.DialFunc = (&rig.Dialer{Network: &c.run.rig.Network, From: callerPlace + "/" + c.name}).DialContext
	if c.floor != "" && c.random.Float64() < tokenShare {
		cfg.RuntimeParams["trefoil.floor"] = c.floor
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout/4)
	defer cancel()
	c.conn, err = pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		c.conn = nil
		pause(ctx, failurePause)
		return false
	}
	return true
}

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	if floor := c.conn.PgConn().ParameterStatus("trefoil.floor"); floor != "" {
		c.floor = floor
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

func (c *caller) act(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	draw := c.random.Float64()
	d := c.run.deployment
	switch {
	case draw < d.writeShare*keyShare:
		c.keyed(ctx)
	case draw < d.writeShare*transactShare:
		c.transaction(ctx)
	case draw < d.writeShare:
		c.update(ctx)
	case draw < d.writeShare+d.browseShare:
		c.browse(ctx)
	default:
		c.readOwn(ctx)
	}
}

// classify says what an error tells the caller of its request.
func classify(err error) (verdict, string) {
	if err == nil {
		return acknowledged, ""
	}
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		if pgconn.SafeToRetry(err) {
			return notRun, "not-sent"
		}
		return unknown, "connection"
	}
	switch {
	case strings.HasPrefix(pgErr.Code, "TFN"), pgErr.Code == "57P01":
		return notRun, pgErr.Code
	case pgErr.Code == "40003":
		return unknown, pgErr.Code
	}
	return refusedByServer, pgErr.Code
}

// settle drops a connection that cannot be used any more.
func (c *caller) settle(err error) {
	if err == nil || c.conn == nil {
		return
	}
	if c.conn.IsClosed() || c.conn.PgConn().TxStatus() != 'I' {
		c.disconnect()
	}
}

func (c *caller) finish(id, body string, began time.Time, err error) verdict {
	v, code := classify(err)
	a := attempt{group: c.group, id: id, body: body, verdict: v, code: code, began: began, ended: time.Now()}
	c.run.record.write(a)
	if v == refusedByServer && code == "23505" {
		c.run.record.note(&c.run.record.doubled, fmt.Sprintf("%s: row %q was there before its first insert", c.group, id))
	}
	c.run.checkCut(c, began, err, v, code)
	c.settle(err)
	return v
}

// update writes the session's own row, one higher each time.
func (c *caller) update(ctx context.Context) {
	next := max(c.sequence, c.unsure) + 1
	id := c.name
	body := fmt.Sprintf("%s=%d/%d", id, next, c.count)
	began := time.Now()
	var err error
	var tag pgconn.CommandTag
	if c.exists {
		tag, err = c.conn.Exec(ctx, "UPDATE ledger SET body = $1 WHERE id = $2", body, id)
		if err == nil && tag.RowsAffected() != 1 {
			c.run.record.note(&c.run.record.stale, fmt.Sprintf("%s: row %q is gone for its own session's update", c.group, id))
		}
	} else {
		_, err = c.conn.Exec(ctx, "INSERT INTO ledger (id, body) VALUES ($1, $2)", id, body)
	}
	_, code := classify(err)
	if !c.exists && code == "23505" && c.unsure > 0 {
		c.exists = true
		c.settle(err)
		return
	}
	switch c.finish(id, body, began, err) {
	case acknowledged:
		c.exists = true
		c.sequence = next
	case unknown:
		c.unsure = next
	}
}

// readOwn reads the session's own row back, which must not be older than what it wrote.
func (c *caller) readOwn(ctx context.Context) {
	if c.sequence == 0 {
		c.browse(ctx)
		return
	}
	began := time.Now()
	var body string
	err := c.conn.QueryRow(ctx, "SELECT body FROM ledger WHERE id = $1", c.name).Scan(&body)
	if errors.Is(err, pgx.ErrNoRows) {
		c.run.record.note(&c.run.record.stale, fmt.Sprintf("%s: session %s wrote %d and finds no row at %s", c.group, c.name, c.sequence, c.address))
		return
	}
	if err != nil {
		v, code := classify(err)
		c.run.record.failedRead(v)
		c.run.checkCut(c, began, err, v, code)
		c.settle(err)
		return
	}
	c.run.record.read(time.Since(began))
	id, value, _ := strings.Cut(body, "=")
	seen := 0
	_, _ = fmt.Sscanf(value, "%d", &seen)
	switch {
	case id != c.name:
		c.run.record.note(&c.run.record.wrong, fmt.Sprintf("%s: session %s got the answer %q", c.group, c.name, body))
	case seen < c.sequence:
		c.run.record.note(&c.run.record.stale, fmt.Sprintf("%s: session %s wrote %d and reads %d at %s", c.group, c.name, c.sequence, seen, c.address))
	}
}

// browse reads somebody's row.
func (c *caller) browse(ctx context.Context) {
	id := c.run.anyCaller(c.random, c.group)
	began := time.Now()
	var body string
	err := c.conn.QueryRow(ctx, "SELECT body FROM ledger WHERE id = $1", id).Scan(&body)
	if err != nil && !errors.Is(err, pgx.ErrNoRows) {
		v, code := classify(err)
		c.run.record.failedRead(v)
		c.run.checkCut(c, began, err, v, code)
		c.settle(err)
		return
	}
	c.run.record.read(time.Since(began))
	if err == nil && !strings.HasPrefix(body, id+"=") {
		c.run.record.note(&c.run.record.wrong, fmt.Sprintf("%s: asked for %s and got %q", c.group, id, body))
	}
}

// transaction inserts two rows that must come and go together.
func (c *caller) transaction(ctx context.Context) {
	id := fmt.Sprintf("%s-t%d", c.name, c.count)
	body := id + "=pair"
	began := time.Now()
	err := pgx.BeginFunc(ctx, c.conn, func(tx pgx.Tx) error {
		if _, err := tx.Exec(ctx, "INSERT INTO ledger (id, body) VALUES ($1, $2)", id+"-x", body); err != nil {
			return err
		}
		_, err := tx.Exec(ctx, "INSERT INTO ledger (id, body) VALUES ($1, $2)", id+"-y", body)
		return err
	})
	c.finish(id+"-x", body, began, err)
	c.settle(err)
}

// keyed inserts a row with a request key, and repeats it elsewhere while its outcome is unknown.
func (c *caller) keyed(ctx context.Context) {
	id := fmt.Sprintf("%s-k%d", c.name, c.count)
	body := id + "=keyed"
	for range 5 {
		if c.conn == nil && !c.connect(ctx) {
			continue
		}
		began := time.Now()
		_, err := c.conn.Exec(ctx, "SET trefoil.request_key = '"+id+"'")
		if err == nil {
			_, err = c.conn.Exec(ctx, fmt.Sprintf("INSERT INTO ledger (id, body) VALUES ('%s', '%s')", id, body))
		}
		if c.finish(id, body, began, err) != unknown {
			return
		}
		c.disconnect()
	}
}
