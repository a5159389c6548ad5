package protorpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
)

const (
	// maxPendingCalls is the number of calls of one connection that may run; further ones are not read. A VM has
	// fewer statements under way at another one.
	maxPendingCalls = 1024
	// callBytes is about what a small call costs while it runs.
	callBytes = 2 << 10
	// firstReadBytes is allocated for a message that has only announced its length.
	firstReadBytes = 4 << 10
	// maxHeaderBytes exceeds every method name and error.
	maxHeaderBytes = 64 << 10
	// messageTimeout is how long a message may take; the largest takes several seconds on a slow link.
	messageTimeout = 30 * time.Second
)

var errNoMemory = errors.New("not run: the memory for calls of this process is used up")

// Memory counts the bytes of the calls of one connection; conns.Memory implements it. Take reports false if the call
// has to be refused.
type Memory interface {
	Take(n int) bool
	Give(n int)
	Await()
	Work()
	Close()
}

// Limits bound what the peer of a server's connection may use; the zero value has constant limits only.
type Limits struct {
	// Memory counts calls and answers; nil counts nothing.
	Memory Memory
	// MaxRequestBytes is the largest request; 0 means 64 MiB.
	MaxRequestBytes int
	// Answered is called with each answer once it was sent or given up; nil means nothing is called.
	Answered func(answer any)
}

type serverCodec struct {
	*codec
	limits Limits
	// failure ends the connection with the next header.
	failure error
	// current is the call whose body is read next.
	current uint64

	mu      sync.Mutex
	changed *sync.Cond
	closed  bool
	last    uint64
	pending map[uint64]call
}

// call is a call that has not been answered.
type call struct {
	// sequence is the peer's number; it may not be unique, so the server uses its own.
	sequence uint64
	held     int
}

// NewServerCodec returns a codec for rpc.Server.ServeCodec; traffic may be nil.
func NewServerCodec(conn io.ReadWriteCloser, traffic *Traffic) rpc.ServerCodec {
	return NewLimitedServerCodec(conn, traffic, Limits{})
}

// NewLimitedServerCodec returns a codec for rpc.Server.ServeCodec that bounds what the peer uses; traffic may be nil.
func NewLimitedServerCodec(conn io.ReadWriteCloser, traffic *Traffic, limits Limits) rpc.ServerCodec {
	if limits.MaxRequestBytes == 0 {
		limits.MaxRequestBytes = maxMessageBytes
	}
	c := &serverCodec{codec: newCodec(conn, traffic), limits: limits, pending: map[uint64]call{}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// ReadRequestHeader reads the header of the next call once there is room for it.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.failure != nil || !c.awaitRoom() {
		return io.EOF
	}
	if _, err := c.reader.Peek(1); err != nil {
		return io.EOF
	}
	c.setReadDeadline(messageTimeout)
	header := &wire.RpcHeader{}
	held, err := c.read(header, maxHeaderBytes, 0)
	c.give(held)
	if err != nil {
		return io.EOF
	}
	r.ServiceMethod = header.GetMethod()
	c.mu.Lock()
	c.last++
	r.Seq, c.current = c.last, c.last
	c.pending[c.last] = call{sequence: header.GetSequence()}
	c.mu.Unlock()
	return nil
}

// awaitRoom waits while too many calls run; it reports false if the connection has been closed.
func (c *serverCodec) awaitRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPendingCalls && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

// ReadRequestBody reads the body of a call. An error without failure refuses the call alone.
func (c *serverCodec) ReadRequestBody(body any) error {
	message, ok := body.(proto.Message)
	if !ok {
		message = nil
	}
	held, err := c.read(message, c.limits.MaxRequestBytes, 1)
	c.setReadDeadline(0)
	if err == nil && body != nil && !ok {
		err = fmt.Errorf("type %T is not a protobuf message", body)
	}
	if err == nil && !c.take(callBytes) {
		err = errNoMemory
	} else if err == nil {
		held += callBytes
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[c.current] = call{sequence: c.pending[c.current].sequence, held: held}
	return err
}

// read reads a message, whose buffer grows as it arrives, and returns what is counted for it. A nil message is
// dropped. own is the number of calls under way that the message belongs to.
func (c *serverCodec) read(m proto.Message, limit, own int) (held int, err error) {
	length, err := binary.ReadUvarint(c.reader)
	if err != nil {
		c.failure = err
		return 0, err
	}
	if length > uint64(limit) {
		c.failure = fmt.Errorf("a message of %d bytes; at most %d are accepted", length, limit)
		return 0, c.failure
	}
	size := int(length)
	c.await(own)
	data := make([]byte, 0, min(size, firstReadBytes))
	for len(data) < size && m != nil {
		if len(data) == cap(data) {
			grown := min(4*cap(data), size)
			// The decoded message takes about as much as its encoding.
			if !c.take(2 * (grown - cap(data))) {
				break
			}
			held += 2 * (grown - cap(data))
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := io.ReadFull(c.reader, data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			c.failure = err
			return held, err
		}
	}
	if len(data) < size {
		if _, err := io.CopyN(io.Discard, c.reader, int64(size-len(data))); err != nil {
			c.failure = err
			return held, err
		}
		if m != nil {
			return held, errNoMemory
		}
		return held, nil
	}
	c.work()
	if m == nil {
		return held, nil
	}
	if err := proto.Unmarshal(data, m); err != nil {
		c.failure = err
		return held, err
	}
	return held, nil
}

// WriteResponse sends an answer and gives back what its call held.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.mu.Lock()
	answered := c.pending[r.Seq]
	delete(c.pending, r.Seq)
	c.changed.Signal()
	c.mu.Unlock()
	if c.limits.Answered != nil {
		defer c.limits.Answered(body)
	}
	header := &wire.RpcHeader{Method: r.ServiceMethod, Sequence: answered.sequence, Error: strings.ToValidUTF8(r.Error, "\uFFFD")}
	held := answered.held
	defer func() { c.give(held) }()
	if message, ok := body.(proto.Message); ok {
		if size := proto.Size(message); size > firstReadBytes {
			if !c.take(size) {
				header.Error, body = "the call may have run: the memory for answers of this process is used up", nil
			} else {
				held += size
			}
		}
	}
	c.await(0)
	if d, ok := c.conn.(interface{ SetWriteDeadline(time.Time) error }); ok {
		_ = d.SetWriteDeadline(time.Now().Add(messageTimeout))
	}
	err := c.write(header, body)
	if errors.Is(err, ErrNotEncoded) {
		header.Error = "the call may have run: " + err.Error()
		err = c.write(header, nil)
	}
	c.work()
	if err != nil {
		// net/rpc goes on reading otherwise.
		_ = c.Close()
	}
	return err
}

// Close closes the connection.
func (c *serverCodec) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	if first && c.limits.Memory != nil {
		c.limits.Memory.Close()
	}
	return c.conn.Close()
}

func (c *serverCodec) setReadDeadline(timeout time.Duration) {
	d, ok := c.conn.(interface{ SetReadDeadline(time.Time) error })
	if !ok {
		return
	}
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = d.SetReadDeadline(deadline)
}

func (c *serverCodec) take(n int) bool { return c.limits.Memory == nil || c.limits.Memory.Take(n) }

func (c *serverCodec) give(n int) {
	if c.limits.Memory != nil {
		c.limits.Memory.Give(n)
	}
}

// await marks that the peer is waited for, unless more calls of it run than the own one, which is counted or not: they
// would be lost if it had to give way.
func (c *serverCodec) await(own int) {
	c.mu.Lock()
	others := len(c.pending) > own
	c.mu.Unlock()
	if c.limits.Memory != nil && !others {
		c.limits.Memory.Await()
	}
}

func (c *serverCodec) work() {
	if c.limits.Memory != nil {
		c.limits.Memory.Work()
	}
}
