package identity_test

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/wire/identity"
)

func newAuthority(t *testing.T, folder string) *identity.Authority {
	a, err := identity.OpenAuthority(folder)
	is.New(t).NoErr(err)
	return a
}

func issue(t *testing.T, a *identity.Authority, name string) identity.Files {
	f, err := a.Issue(name, net.IPv4(127, 0, 0, 1))
	is.New(t).NoErr(err)
	return f
}

func serve(t *testing.T, config *tls.Config) string {
	l, err := tls.Listen("tcp", "127.0.0.1:0", config)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("in"))
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

func read(conn net.Conn) (string, error) {
	defer func() { _ = conn.Close() }()
	b := make([]byte, 2)
	n, err := conn.Read(b)
	if n > 0 {
		return string(b[:n]), nil
	}
	return "", err
}

func TestMutual(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	newAuthority(t, folder)
	ca := newAuthority(t, folder) // the second call loads the files
	server := &identity.Identity{Files: issue(t, ca, "server")}
	is.NoErr(server.Check())
	address := serve(t, server.MutualTLSConfig())
	friend := &identity.Dialer{Identity: &identity.Identity{Files: issue(t, ca, "friend")}}
	conn, err := friend.DialContext(context.Background(), "tcp", address)
	is.NoErr(err)
	got, err := read(conn)
	is.NoErr(err)
	is.Equal(got, "in")

	plain, err := net.Dial("tcp", address)
	is.NoErr(err)
	_ = plain.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = plain.Write([]byte("let me in, whoever I am\n"))
	is.NoErr(err)
	got, _ = read(plain)
	is.True(got != "in") // a connection without TLS is refused

	nobody, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		got, err = read(nobody)
		is.True(err != nil && got != "in") // a client without a certificate is refused
	}

	stranger := issue(t, newAuthority(t, t.TempDir()), "stranger")
	stranger.Authority = server.Files.Authority
	conn, err = (&identity.Dialer{Identity: &identity.Identity{Files: stranger}}).DialContext(context.Background(), "tcp", address)
	if err == nil {
		got, err = read(conn)
		is.True(err != nil && got != "in") // a certificate of another authority is refused
	}
}

// TestReload checks that a renewed certificate is used without a restart, and that after a file
// becomes invalid the certificate loaded before stays in use.
func TestReload(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t, t.TempDir())
	server := &identity.Identity{Files: issue(t, ca, "server")}
	address := serve(t, server.MutualTLSConfig())
	dialer := &identity.Dialer{Identity: &identity.Identity{Files: issue(t, ca, "friend")}}
	serial := func() string {
		conn, err := dialer.DialContext(context.Background(), "tcp", address)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	first := serial()
	issue(t, ca, "server")
	time.Sleep(1100 * time.Millisecond)
	second := serial()
	is.True(first != second)
	is.NoErr(os.WriteFile(server.Files.Key, []byte("broken"), 0o600))
	time.Sleep(1100 * time.Millisecond)
	is.Equal(serial(), second)
}
