package rig_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"trefoilcourse/control"
	"trefoilcourse/entry"
	operator "trefoilcourse/trefoil/internal/control"
	"trefoilcourse/wire"
	"trefoilcourse/wire/identity"
	"trefoilcourse/wire/protorpc"
)

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return l
}

// TestTLS runs a control VM and an entry VM with certificates: those without one get in nowhere.
func TestTLS(t *testing.T) {
	is := is.New(t)
	authority, err := identity.OpenAuthority(t.TempDir())
	is.NoErr(err)
	files, err := authority.Issue("vm", net.IPv4(127, 0, 0, 1))
	is.NoErr(err)
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	controls, callers, links, web := listen(t), listen(t), listen(t), listen(t)
	address := controls.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	c := &control.Server{Listener: controls, Log: log, Settings: control.Settings{
		VM: "c1", DataFolder: t.TempDir(), Peers: map[string]string{"c1": address}, TLS: &files,
	}}
	e := &entry.Server{CallerListener: callers, LinkListener: links, HTTPListener: web, Log: log, Settings: entry.Settings{
		VM: "e1", FailureDomain: "d1", Control: []string{address}, TLS: &files, CallerTLS: &files,
		Callers: callers.Addr().String(), Links: links.Addr().String(), HTTP: web.Addr().String(),
	}}
	go func() { ended <- c.Run(ctx) }()
	go func() { ended <- e.Run(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-ended)
		is.NoErr(<-ended)
	}()

	dialer := &identity.Dialer{Identity: &identity.Identity{Files: files}}
	client := &operator.Client{Addresses: []string{address}, Dialer: dialer}
	waitCtx, stop := context.WithTimeout(ctx, 30*time.Second)
	defer stop()
	result, err := client.Publish(waitCtx, &wire.PublishRequest{Id: "first", Objects: []*wire.Object{
		{Kind: "database-group", Name: base, Body: []byte(`{"slots":["a","b","c"],"connections":45}`)},
	}})
	is.NoErr(err)
	is.True(result.GetAccepted())
	is.NoErr(client.AwaitInForce(waitCtx, 1, func(int, int) {})) // the entry VM renews over TLS

	shortCtx, stopShort := context.WithTimeout(ctx, time.Second)
	defer stopShort()
	is.True((&protorpc.Client{Address: address}).Call(shortCtx, "Control.Status", &wire.StatusRequest{}, &wire.StatusResponse{}) != nil)

	insecure := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	answer, err := insecure.Post("https://"+web.Addr().String()+"/v1/announce", "application/json", strings.NewReader("{}"))
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusForbidden)
	answer, err = insecure.Get("https://" + web.Addr().String() + "/healthz")
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusOK) // the balancer needs no certificate

	link, err := net.Dial("tcp", links.Addr().String())
	is.NoErr(err)
	_ = link.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = link.Write(make([]byte, 64))
	got, _ := io.ReadAll(link)
	is.True(len(got) < 12) // a TLS alert at most, and no frame of a link

	conn, err := pgx.Connect(waitCtx, fmt.Sprintf("postgres://clerk@%s/%s?sslmode=require", callers.Addr(), base))
	is.NoErr(err)
	_, secured := conn.PgConn().Conn().(*tls.Conn)
	is.True(secured)
	is.NoErr(conn.Close(waitCtx))
}
