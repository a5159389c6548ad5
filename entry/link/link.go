package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"trefoilcourse/coord/budget"
	"trefoilcourse/wire"
	"trefoilcourse/wire/conns"
	"trefoilcourse/wire/protorpc"
)

const (
	heartbeatInterval   = time.Second
	writeTimeout        = time.Second
	dialTimeout         = time.Second
	maxOpenMessageBytes = 4096
	streamWindowBytes   = 256 << 10
	acceptBacklog       = 1024
	// maxStreams is the number of streams of one link; a VM has fewer units of work under way at another one. A link
	// that has more is closed.
	maxStreams = 1024
	// streamBytes is about what a stream costs before it carries anything: its goroutine and its buffers.
	streamBytes = 16 << 10
	// openTimeout limits the wait for the first message of a stream.
	openTimeout = 10 * time.Second
)

var errNoAddress = errors.New("the entry VM has no link address")

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = heartbeatInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.AcceptBacklog = acceptBacklog
	c.LogOutput = io.Discard
	return c
}

// Pool keeps one connection to each entry VM in use; its zero value is ready to use.
type Pool struct {
	// Dialer opens connections; nil means plain TCP.
	Dialer protorpc.Dialer

	mu       sync.Mutex
	sessions map[string]*connection
}

type connection struct {
	mu      sync.Mutex
	session *yamux.Session
}

// OpenStream opens a stream to the entry VM at address and sends open as its first message.
func (p *Pool) OpenStream(ctx context.Context, address string, open *wire.Open) (net.Conn, error) {
	if address == "" {
		return nil, errNoAddress
	}
	session, err := p.session(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open a stream to %s: %w", address, err)
	}
	if _, err := protodelim.MarshalTo(stream, open); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

func (p *Pool) session(ctx context.Context, address string) (*yamux.Session, error) {
	p.mu.Lock()
	if p.sessions == nil {
		p.sessions = map[string]*connection{}
	}
	s := p.sessions[address]
	if s == nil {
		s = &connection{}
		p.sessions[address] = s
	}
	p.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil && !s.session.IsClosed() {
		return s.session, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer protorpc.Dialer = &net.Dialer{}
	if p.Dialer != nil {
		dialer = p.Dialer
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s.session, err = yamux.Client(conn, muxConfig())
	return s.session, err
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		s.mu.Lock()
		if s.session != nil {
			_ = s.session.Close()
		}
		s.mu.Unlock()
	}
}

// Handler runs one unit of work; it owns the stream.
type Handler func(ctx context.Context, open *wire.Open, stream net.Conn)

// Serve accepts connections until the listener is closed, then waits for their units to end. Streams count against the
// budget.
func Serve(ctx context.Context, listener net.Listener, handler Handler, b *budget.Budget) error {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		open.Go(func() { serveLink(ctx, conn, handler, b) })
	}
}

func serveLink(ctx context.Context, conn net.Conn, handler Handler, b *budget.Budget) {
	session, err := yamux.Server(conn, muxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	var open sync.WaitGroup
	defer open.Wait()
	defer func() { _ = session.Close() }()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		if session.NumStreams() > maxStreams {
			_ = stream.Close()
			return
		}
		open.Go(func() { serveStream(ctx, stream, handler, b) })
	}
}

func serveStream(ctx context.Context, stream net.Conn, handler Handler, b *budget.Budget) {
	memory := &conns.Memory{Account: b.Open(0, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })}
	defer memory.Close()
	memory.Await()
	if !memory.Take(streamBytes) {
		_ = stream.Close()
		return
	}
	reader := bufio.NewReaderSize(stream, maxOpenMessageBytes)
	_ = stream.SetReadDeadline(time.Now().Add(openTimeout))
	open := &wire.Open{}
	options := protodelim.UnmarshalOptions{MaxSize: maxOpenMessageBytes}
	if err := options.UnmarshalFrom(reader, open); err != nil {
		_ = stream.Close()
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	memory.Work()
	handler(ctx, open, &bufferedConn{Conn: stream, reader: reader})
}

// bufferedConn is a connection whose first bytes are already in a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read reads from the buffer, then from the stream.
func (b *bufferedConn) Read(p []byte) (int, error) { return b.reader.Read(p) }
