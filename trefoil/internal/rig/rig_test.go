package rig_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"trefoilcourse/standin"
	"trefoilcourse/trefoil/internal/rig"
	"trefoilcourse/wire"
)

func TestSmoke(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	g := &standin.Group{Name: "ledger-1", Slots: []standin.Slot{{Name: "a", FailureDomain: "d1"}, {Name: "b", FailureDomain: "d2"}, {Name: "c", FailureDomain: "d3"}}}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	r, err := rig.Start(ctx, rig.Plan{Domains: []string{"d1", "d2", "d3"}, Controls: 3, Entries: 4, Groups: []*standin.Group{g}, Folder: t.TempDir(), Log: log})
	is.NoErr(err)
	t0 := time.Now()
	err = r.Publish(ctx, []*wire.Object{
		{Kind: "database-group", Name: "ledger-1", Body: []byte(`{"slots":["a","b","c"],"connections":45}`)},
		{Kind: "service", Name: "ledger", Body: []byte(`{"groups":["ledger-1"],"read-policy":"fresh"}`)},
		{Kind: "read-policy", Name: "fresh", Body: []byte(`{"replicas":true}`)},
	})
	is.NoErr(err)
	t.Log("published", time.Since(t0))
	addr := r.CallerAddresses()[0]
	conn, err := pgx.Connect(ctx, "postgres://clerk@"+addr+"/ledger-1?sslmode=disable")
	is.NoErr(err)
	t.Log("connected", time.Since(t0))
	_, err = conn.Exec(ctx, "INSERT INTO ledger (id, body) VALUES ($1, $2)", "k1", "hymn")
	is.NoErr(err)
	t.Log("written", time.Since(t0))
	var body string
	is.NoErr(conn.QueryRow(ctx, "SELECT body FROM ledger WHERE id = $1", "k1").Scan(&body))
	is.Equal(body, "hymn")
	t.Log("read", time.Since(t0))
	r.Stop()
}
