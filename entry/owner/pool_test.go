package owner_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"trefoilcourse/entry/backend"
	"trefoilcourse/entry/owner"
)

// server is a PostgreSQL server of which each connection answers the question of its identity, and each later one by
// a number; after an answer it sends what extra holds, in the same write or once resume is closed.
type server struct {
	listener net.Listener
	extra    []pgproto3.BackendMessage
	// together sends extra with the answer.
	together bool
	resume   chan struct{}
}

func (s *server) serve(number byte) {
	conn, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	b := pgproto3.NewBackend(conn, conn)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	idle := &pgproto3.ReadyForQuery{TxStatus: 'I'}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(idle)
	_ = b.Flush()
	for question := 0; ; question++ {
		if _, err := b.Receive(); err != nil {
			return
		}
		row := [][]byte{{'0' + number}}
		if question == 0 {
			row = [][]byte{[]byte("f"), []byte("1"), []byte("born")}
		}
		b.Send(&pgproto3.DataRow{Values: row})
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		b.Send(idle)
		if question != 1 || number != 1 {
			_ = b.Flush()
			continue
		}
		if !s.together {
			_ = b.Flush()
			<-s.resume
		}
		for _, m := range s.extra {
			b.Send(m)
		}
		_ = b.Flush()
	}
}

// TestConnectionWithUnreadAnswerIsNotUsedAgain guards against an answer that is too many on a connection to a PostgreSQL server, and
// is taken for that to the next unit of work.
func TestConnectionWithUnreadAnswerIsNotUsedAgain(t *testing.T) {
	answer := []pgproto3.BackendMessage{
		&pgproto3.DataRow{Values: [][]byte{[]byte("copy")}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	}
	for _, c := range []struct {
		name     string
		extra    []pgproto3.BackendMessage
		together bool
		// used says that the same connection is used again.
		used bool
	}{
		{"in the read buffer", answer, true, false},
		{"in the socket", answer, false, false},
		{"a notice", []pgproto3.BackendMessage{&pgproto3.NoticeResponse{Message: "soon"}}, false, false},
		{"nothing", nil, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			s := &server{listener: listener, extra: c.extra, together: c.together, resume: make(chan struct{})}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				first := make(chan struct{})
				go func() { defer close(first); s.serve(1) }()
				<-first
				if !c.used {
					s.serve(2)
				}
			}()
			p := owner.NewTestPool(&net.Dialer{}, listener.Addr().String())
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			conn, err := p.Get(ctx)
			is.NoErr(err)
			is.Equal(ask(is, conn), "1")
			p.Put(conn)
			close(s.resume)
			for range 5000 {
				if c.used || !conn.Quiet() {
					break
				}
				time.Sleep(time.Millisecond)
			}
			conn, err = p.Get(ctx)
			is.NoErr(err)
			is.Equal(ask(is, conn), map[bool]string{true: "1", false: "2"}[c.used])
			is.Equal(p.Metrics.BackendConnects.Value(), map[bool]int64{true: 1, false: 2}[c.used])
			p.Put(conn)
			p.Close()
			_ = listener.Close()
			<-ended
		})
	}
}

// ask asks a question and returns the first value of the answer.
func ask(is *is.I, conn *backend.Conn) string {
	rows, err := conn.Query("SELECT n", time.Now().Add(30*time.Second))
	is.NoErr(err)
	is.Equal(len(rows), 1)
	return rows[0][0]
}
