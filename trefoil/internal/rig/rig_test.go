package rig_test

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/jackc/pgx/v5/stdlib" // the database/sql driver
	"github.com/matryer/is"

	"trefoilcourse/standin"
	"trefoilcourse/trefoil/internal/rig"
	"trefoilcourse/wire"
)

const base = "ledger-1"

// suite is a rig that the tests of ordinary clients share.
type suite struct {
	rig   *rig.Rig
	group *standin.Group
}

func start(t *testing.T) *suite {
	t.Helper()
	is := is.New(t)
	s := &suite{group: &standin.Group{
		Name: base, ReceiveLag: time.Millisecond, ReplayLag: 5 * time.Millisecond, ConnectDelay: time.Millisecond,
		Slots: []standin.Slot{{Name: "a", FailureDomain: "d1"}, {Name: "b", FailureDomain: "d2"}, {Name: "c", FailureDomain: "d3"}},
	}}
	var err error
	s.rig, err = rig.Start(context.Background(), rig.Plan{
		Domains: []string{"d1", "d2", "d3"}, Controls: 3, Entries: 4, Groups: []*standin.Group{s.group}, Folder: t.TempDir(),
	})
	is.NoErr(err)
	t.Cleanup(s.rig.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.NoErr(s.rig.Publish(ctx, []*wire.Object{
		{Kind: "database-group", Name: base, Body: []byte(`{"slots":["a","b","c"],"connections":45}`)},
		{Kind: "service", Name: "ledger", Body: []byte(`{"groups":["ledger-1"],"read-policy":"fresh"}`)},
		{Kind: "read-policy", Name: "fresh", Body: []byte(`{"replicas":true}`)},
	}))
	return s
}

func (s *suite) url(i int) string {
	return fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", s.rig.CallerAddress(i), base)
}

func (s *suite) connect(t *testing.T, i int) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, s.url(i))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func code(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return fmt.Sprint(err)
}

const insert = "INSERT INTO ledger (id, body) VALUES ($1, $2)"
const selectBody = "SELECT body FROM ledger WHERE id = $1"

// TestClients uses the proxy as ordinary clients do.
func TestClients(t *testing.T) {
	s := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()

	t.Run("pool of pgx", func(t *testing.T) {
		is := is.New(t)
		pool, err := pgxpool.New(ctx, s.url(0))
		is.NoErr(err)
		defer pool.Close()
		var all sync.WaitGroup
		errs := make(chan error, 20)
		for k := range 20 {
			all.Go(func() {
				id := fmt.Sprintf("pool-%d", k)
				if _, err := pool.Exec(ctx, insert, id, "hymn"); err != nil {
					errs <- err
					return
				}
				var body string
				errs <- pool.QueryRow(ctx, selectBody, id).Scan(&body)
			})
		}
		all.Wait()
		close(errs)
		for err := range errs {
			is.NoErr(err)
		}
	})

	t.Run("database/sql with a transaction", func(t *testing.T) {
		is := is.New(t)
		db, err := sql.Open("pgx", s.url(1))
		is.NoErr(err)
		defer func() { _ = db.Close() }()
		tx, err := db.BeginTx(ctx, nil)
		is.NoErr(err)
		_, err = tx.ExecContext(ctx, insert, "sql-1", "psalter")
		is.NoErr(err)
		is.NoErr(tx.Commit())
		tx, err = db.BeginTx(ctx, &sql.TxOptions{ReadOnly: true})
		is.NoErr(err)
		var body string
		is.NoErr(tx.QueryRowContext(ctx, selectBody, "sql-1").Scan(&body))
		is.Equal(body, "psalter")
		is.NoErr(tx.Rollback())
	})

	t.Run("rollback leaves nothing", func(t *testing.T) {
		is := is.New(t)
		conn := s.connect(t, 0)
		tx, err := conn.Begin(ctx)
		is.NoErr(err)
		_, err = tx.Exec(ctx, insert, "gone", "x")
		is.NoErr(err)
		is.NoErr(tx.Rollback(ctx))
		is.Equal(conn.QueryRow(ctx, selectBody, "gone").Scan(new(string)), pgx.ErrNoRows)
	})

	t.Run("roaming with and without a token", func(t *testing.T) {
		is := is.New(t)
		for k := range 40 {
			id := fmt.Sprintf("roam-%d", k)
			conn := s.connect(t, k%4)
			_, err := conn.Exec(ctx, insert, id, "chest")
			is.NoErr(err)
			token := conn.PgConn().ParameterStatus("trefoil.floor")
			is.True(token != "")
			other := s.connect(t, (k+1)%4)
			if k%2 == 0 {
				_, err = other.Exec(ctx, "SET trefoil.floor = '"+token+"'")
				is.NoErr(err)
			}
			var body string
			is.NoErr(other.QueryRow(ctx, selectBody, id).Scan(&body))
			is.Equal(body, "chest")
		}
	})

	t.Run("pipeline", func(t *testing.T) {
		is := is.New(t)
		conn := s.connect(t, 2)
		batch := &pgx.Batch{}
		for k := range 30 {
			batch.Queue(insert, fmt.Sprintf("batch-%d", k), "b")
		}
		batch.Queue("SELECT count(*) FROM ledger")
		results := conn.SendBatch(ctx, batch)
		for range 30 {
			_, err := results.Exec()
			is.NoErr(err)
		}
		var count string
		is.NoErr(results.QueryRow().Scan(&count))
		is.NoErr(results.Close())
		is.True(count >= "30")
	})

	t.Run("copy in and out", func(t *testing.T) {
		is := is.New(t)
		conn := s.connect(t, 3)
		var rows strings.Builder
		for k := range 5000 {
			fmt.Fprintf(&rows, "copy-%d\t%s\n", k, strings.Repeat("x", 200))
		}
		tag, err := conn.PgConn().CopyFrom(ctx, strings.NewReader(rows.String()), "COPY ledger FROM STDIN")
		is.NoErr(err)
		is.Equal(tag.RowsAffected(), int64(5000))
		var out strings.Builder
		_, err = conn.PgConn().CopyTo(ctx, &out, "COPY ledger TO STDOUT")
		is.NoErr(err)
		is.Equal(strings.Count(out.String(), "copy-"), 5000)
	})

	t.Run("large result and slow reader", func(t *testing.T) {
		is := is.New(t)
		conn := s.connect(t, 0)
		rows, err := conn.Query(ctx, "SELECT id, body FROM ledger")
		is.NoErr(err)
		count := 0
		for rows.Next() {
			if count == 0 {
				quick := s.connect(t, 0)
				is.NoErr(quick.QueryRow(ctx, selectBody, "copy-7").Scan(new(string)))
			}
			count++
		}
		is.NoErr(rows.Err())
		is.True(count >= 5000)
	})

	t.Run("named statement after pooling", func(t *testing.T) {
		is := is.New(t)
		conn := s.connect(t, 1)
		_, err := conn.Prepare(ctx, "mine", selectBody)
		is.NoErr(err)
		for range 20 {
			var body string
			is.NoErr(conn.QueryRow(ctx, "mine", "sql-1").Scan(&body))
			is.Equal(body, "psalter")
		}
		is.NoErr(conn.Deallocate(ctx, "mine"))
	})

	t.Run("server's errors pass whole", func(t *testing.T) {
		is := is.New(t)
		conn := s.connect(t, 1)
		_, err := conn.Exec(ctx, insert, "sql-1", "again")
		is.Equal(code(err), "23505")
		_, err = conn.Exec(ctx, "SELEKT")
		is.Equal(code(err), "42601")
		is.NoErr(conn.QueryRow(ctx, selectBody, "sql-1").Scan(new(string)))
	})

	t.Run("session state is refused", func(t *testing.T) {
		is := is.New(t)
		conn := s.connect(t, 2)
		_, err := conn.Exec(ctx, "SET search_path = x")
		is.Equal(code(err), "0A000")
		tx, err := conn.Begin(ctx)
		is.NoErr(err)
		_, err = tx.Exec(ctx, "LISTEN births")
		is.Equal(code(err), "0A000")
		_, err = tx.Exec(ctx, insert, "after-refusal", "x")
		is.Equal(code(err), "25P02") // the transaction has failed, as with a server's own refusal
		is.NoErr(tx.Rollback(ctx))
	})

	t.Run("request key runs once", func(t *testing.T) {
		is := is.New(t)
		for k := range 3 {
			conn := s.connect(t, k)
			_, err := conn.Exec(ctx, "SET trefoil.request_key = 'invoice-1'")
			is.NoErr(err)
			tag, err := conn.Exec(ctx, "UPDATE ledger SET body = $1 WHERE id = $2", fmt.Sprintf("run %d", k), "sql-1")
			is.NoErr(err)
			is.Equal(tag.RowsAffected(), int64(1))
		}
		var body string
		is.NoErr(s.connect(t, 3).QueryRow(ctx, selectBody, "sql-1").Scan(&body))
		is.Equal(body, "run 0")
	})

	t.Run("cancel arrives on another entry VM", func(t *testing.T) {
		is := is.New(t)
		conn := s.connect(t, 0)
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(ctx, "SELECT pg_sleep(30)")
			done <- err
		}()
		time.Sleep(200 * time.Millisecond)
		is.NoErr(s.rig.CancelAt(ctx, 2, conn.PgConn().PID(), conn.PgConn().SecretKey()))
		is.Equal(code(<-done), "57014") // not canceled, the statement ends without an error
	})

	t.Run("unknown database", func(t *testing.T) {
		is := is.New(t)
		_, err := pgx.Connect(ctx, strings.Replace(s.url(0), base, "ledgre", 1))
		is.Equal(code(err), "3D000")
	})

	t.Run("drain tells an idle caller", func(t *testing.T) {
		is := is.New(t)
		conn := s.connect(t, 3)
		_, err := conn.Exec(ctx, insert, "before-drain", "x")
		is.NoErr(err)
		s.rig.DrainEntry(3)
		_, err = conn.Exec(ctx, insert, "after-drain", "x")
		is.Equal(code(err), "57P01")
		is.True(!s.group.Primary().HasRow("after-drain"))
	})
}
