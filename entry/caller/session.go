package caller

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/coord/session"
	"trefoilcourse/coord/statement"
	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/entry/internal/outcome"
	"trefoilcourse/wire/conns"
)

const (
	// maxBatchBytes is the size at which a batch is routed before it is complete.
	maxBatchBytes   = 256 << 10
	defaultDeadline = 10 * time.Second
)

// preparedStatement is a statement that the caller has prepared under a name.
type preparedStatement struct {
	parse frame.Frame
	text  string
}

// size returns about how much memory the statement takes.
func (p preparedStatement) size() int { return p.parse.Size() + len(p.text) }

// connection is one caller's connection.
type connection struct {
	server    *Server
	conn      net.Conn
	reader    *frame.Reader
	user      string
	group     string
	processID uint32
	secret    []byte

	staleness  time.Duration
	deadline   time.Duration
	requestKey string
	batch      []frame.Frame
	batchSize  int
	skipToSync bool
	memory     *conns.Memory
	eviction   *conns.Eviction

	mu         sync.Mutex
	floor      session.Position
	floorKnown bool
	statements map[string]preparedStatement
	// preparedBytes is the size of statements.
	preparedBytes int
	active        *exchange
	// activeChanged is signalled when the active exchange has found an owner or has finished.
	activeChanged *sync.Cond

	writeMu sync.Mutex
	writer  *frame.Writer
}

func newConnection(s *Server, conn net.Conn) *connection {
	c := &connection{
		server: s, statements: map[string]preparedStatement{}, deadline: defaultDeadline,
	}
	c.openMemory(conn)
	c.useConn(conn)
	c.activeChanged = sync.NewCond(&c.mu)
	return c
}

func (c *connection) close() {
	c.mu.Lock()
	active := c.active
	c.mu.Unlock()
	if active != nil {
		active.abort()
	}
	_ = c.conn.Close()
}

// run reads the caller's frames until the connection ends.
func (c *connection) run(ctx context.Context) {
	for {
		f, err := c.next()
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.eviction.Begun() {
			c.sendFatal(limitRefusal(messageTimeout, "the rest of the message has not arrived in time"))
			return
		}
		if err != nil && c.eviction.Begun() {
			c.sendFatal(limitRefusal(noMemory, "closed for others: the memory for messages of this VM is used up, and this connection held most of it for longest"))
			return
		}
		if errors.Is(err, frame.ErrNoMemory) {
			c.sendFatal(limitRefusal(noMemory, err.Error()))
			return
		}
		if err != nil || f.Type == frame.Terminate {
			return
		}
		if refusal := c.account(f); refusal != nil {
			c.sendFatal(refusal)
			return
		}
		c.mu.Lock()
		active := c.active
		c.mu.Unlock()
		if active != nil && active.forward(f) {
			continue
		}
		c.collect(ctx, f)
	}
}

// next reads a frame, the rest of which must arrive in time once its first byte has arrived.
func (c *connection) next() (frame.Frame, error) {
	whole, err := c.reader.AwaitPart()
	if err != nil {
		return frame.Frame{}, err
	}
	if whole || c.server.MessageTimeout == 0 {
		return c.reader.Next()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(c.server.MessageTimeout))
	f, err := c.reader.Next()
	if err == nil {
		_ = c.conn.SetReadDeadline(time.Time{})
	}
	return f, err
}

// collect adds a frame to the batch that begins a unit of work, and starts the unit once complete.
func (c *connection) collect(ctx context.Context, f frame.Frame) {
	if c.skipToSync {
		if f.Type == frame.Sync {
			c.skipToSync = false
			_ = c.send([]frame.Frame{frame.Ready(frame.Idle)}, true)
		}
		return
	}
	c.batch = append(c.batch, f)
	c.batchSize += f.Size()
	switch f.Type {
	case frame.Query, frame.FunctionCall, frame.Sync, frame.Flush:
	default:
		if c.batchSize < maxBatchBytes {
			return
		}
	}
	batch := c.batch
	c.batch, c.batchSize = nil, 0
	c.start(ctx, batch)
}

// start routes a batch: it is answered locally, refused, or sent to an owner.
func (c *connection) start(ctx context.Context, batch []frame.Frame) {
	class, local := c.classify(batch)
	switch {
	case local:
		c.answerLocally(batch)
	case class == statement.SessionState:
		c.refuseBatch(batch, refusedState())
	case !c.server.View.Confirmed():
		c.refuseBatch(batch, outcome.NotRun(outcome.Unconfirmed, "this entry VM cannot confirm its configuration", "Connect again; another one answers."))
	default:
		c.exchange(ctx, batch, class)
	}
}

func refusedState() *outcome.Refusal {
	return &outcome.Refusal{
		Code:    outcome.Unsupported,
		Message: "not run: the statement changes session state, which shared connections cannot keep for one caller",
		Hint:    "Use SET LOCAL, cursors and advisory locks of a transaction; do not use temporary tables, LISTEN or PREPARE.",
	}
}

// classify returns the strictest class of a batch; local is true for one that concerns
// only the proxy's settings or the names of statements.
func (c *connection) classify(batch []frame.Frame) (class statement.Class, local bool) {
	class = statement.Empty
	local = true
	for _, f := range batch {
		text, runs := c.textOf(f)
		if !runs {
			continue
		}
		one := statement.Classify(text)
		if one == statement.Empty && f.Type != frame.Query {
			one = statement.Read
		}
		local = local && one == statement.Setting
		class = stricterClass(class, one)
	}
	return class, local
}

// stricterClass returns the class of a batch with statements of both classes.
func stricterClass(a, b statement.Class) statement.Class {
	order := map[statement.Class]int{
		statement.Empty: 0, statement.Setting: 1, statement.Read: 2, statement.BeginReadOnly: 3,
		statement.End: 4, statement.Write: 5, statement.Begin: 6, statement.SessionState: 7,
	}
	if order[a] > order[b] {
		return a
	}
	return b
}

// textOf returns the statement that a frame runs, prepares or describes.
func (c *connection) textOf(f frame.Frame) (text string, ok bool) {
	switch f.Type {
	case frame.Query:
		var m pgproto3.Query
		if m.Decode(f.Body) != nil {
			return "", true
		}
		return m.String, true
	case frame.Parse:
		var m pgproto3.Parse
		if m.Decode(f.Body) != nil {
			return "", true
		}
		return m.Query, true
	case frame.Bind:
		var m pgproto3.Bind
		if m.Decode(f.Body) != nil || m.PreparedStatement == "" {
			return "", false
		}
		return c.statementText(m.PreparedStatement)
	case frame.Describe:
		var m pgproto3.Describe
		if m.Decode(f.Body) != nil || m.ObjectType != 'S' || m.Name == "" {
			return "", false
		}
		return c.statementText(m.Name)
	case frame.FunctionCall:
		return "call", true
	}
	return "", false
}

func (c *connection) statementText(name string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.statements[name]
	return n.text, ok
}

// refuseBatch answers a batch that is not run.
func (c *connection) refuseBatch(batch []frame.Frame, r *outcome.Refusal) {
	c.server.Metrics.NotRun.Add(r.Code, 1)
	c.afterError(batch, []frame.Frame{r.Frame()})
}

// afterError ends a batch after an error as a server would: frames up to the next Sync are
// skipped.
func (c *connection) afterError(batch []frame.Frame, answer []frame.Frame) {
	last := batch[len(batch)-1].Type
	switch last {
	case frame.Query, frame.FunctionCall, frame.Sync:
		answer = append(answer, frame.Ready(frame.Idle))
	default:
		c.skipToSync = true
	}
	_ = c.send(answer, true)
}

func (c *connection) send(frames []frame.Frame, flush bool) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	for _, f := range frames {
		if err := c.writer.Write(f); err != nil {
			return err
		}
	}
	if !flush {
		return nil
	}
	return c.writer.Flush()
}

// sendFatal sends the caller the reason before the connection is closed.
func (c *connection) sendFatal(r *outcome.Refusal) {
	last := *r
	last.Fatal = true
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_ = c.send([]frame.Frame{last.Frame()}, true)
}

// drain closes the connection if it is idle; otherwise release does so when its unit has finished.
func (c *connection) drain() {
	c.mu.Lock()
	idle := c.active == nil
	c.mu.Unlock()
	if idle {
		c.closeForShutdown()
	}
}

func (c *connection) closeForShutdown() {
	c.sendFatal(&outcome.Refusal{Code: outcome.AdminShutdown, Message: "this entry VM is stopping; nothing was under way", Hint: "Connect again; another one answers."})
	_ = c.conn.Close()
}

func (c *connection) cancel() {
	c.mu.Lock()
	active := c.active
	c.mu.Unlock()
	if active != nil {
		active.cancel()
	}
}
