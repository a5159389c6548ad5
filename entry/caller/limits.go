package caller

import (
	"net"
	"time"

	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/entry/internal/outcome"
	"trefoilcourse/wire/conns"
)

const (
	// writeTimeout limits the wait for a caller to read what it is sent.
	writeTimeout = 10 * time.Second
	// connectionAllowance is what each connection may hold without asking: its buffers and statements of usual size.
	connectionAllowance = 16 << 10
	// maxPreparedBytes and maxPrepared limit the prepared statements of a session: one as large as a message can be, with
	// its text beside it, and others of usual size.
	maxPreparedBytes = 4 << 20
	maxPrepared      = 2000
	// noMemory, tooManyConnections and messageTimeout are PostgreSQL's codes.
	noMemory           = "53200"
	tooManyConnections = "53300"
	messageTimeout     = "08P01"
)

// timedWriter writes with a deadline for each part.
type timedWriter struct{ net.Conn }

// Write writes p before the caller has kept it waiting for too long.
func (w timedWriter) Write(p []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.Conn.Write(p)
}

// openMemory opens the account of the connection; a caller that has to give way is disconnected.
func (c *connection) openMemory(conn net.Conn) {
	c.eviction = conns.NewEviction(conn)
	if c.server.Memory != nil {
		c.memory = &conns.Memory{Account: c.server.Memory.Open(connectionAllowance, c.eviction.Begin)}
	}
}

// useConn reads and writes frames on a connection.
func (c *connection) useConn(conn net.Conn) {
	c.conn = conn
	c.reader = frame.NewLimitedReader(conn, func(n int) bool {
		// The caller is waited for, to send the rest.
		c.memory.Await()
		return c.memory.Take(copies * n)
	})
	c.writer = frame.NewWriter(timedWriter{conn})
}

// copies is how often a frame is in memory while it is sent to its owner and its server by this process.
const copies = 2

// account counts a frame that was read, and gives back what earlier ones took that are not held any more. It returns
// a refusal if the session may not hold it.
func (c *connection) account(f frame.Frame) *outcome.Refusal {
	c.mu.Lock()
	prepared, names := c.preparedBytes, len(c.statements)
	working, underWay := c.active != nil, 0
	if working {
		// What was forwarded beyond a batch is not kept.
		underWay = min(c.active.forwardedBytes, maxBatchBytes+frame.MaxCallerBytes)
		names += len(c.active.pendingParses)
		for _, p := range c.active.pendingParses {
			prepared += p.frame.Size() + len(p.text)
		}
	}
	c.mu.Unlock()
	c.memory.Keep(prepared + copies*(underWay+c.batchSize+f.Size()))
	if working {
		c.memory.Work()
	} else {
		c.memory.Await()
	}
	if f.Type == frame.Parse && (prepared+copies*f.Size() > maxPreparedBytes || names >= maxPrepared) {
		return limitRefusal(noMemory, "the prepared statements of the session exceed 4 MiB or 2000 names")
	}
	return nil
}

func limitRefusal(code, message string) *outcome.Refusal {
	return &outcome.Refusal{Code: code, Message: message, Hint: "Connect again later, or use less."}
}

// TooManyConnections is what a caller is sent when there are too many.
func TooManyConnections() string {
	r := limitRefusal(tooManyConnections, "this entry VM has no room for another connection")
	r.Fatal = true
	var text writtenFrame
	w := frame.NewWriter(&text)
	_ = w.Write(r.Frame())
	_ = w.Flush()
	return string(text)
}

type writtenFrame []byte

// Write appends p.
func (w *writtenFrame) Write(p []byte) (int, error) {
	*w = append(*w, p...)
	return len(p), nil
}
