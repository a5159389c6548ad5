package caller

import (
	"context"
	"net"
	"slices"
	"time"

	"trefoilcourse/coord/statement"
	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/entry/internal/outcome"
	"trefoilcourse/wire"
)

const (
	ownerRetryDelay = 20 * time.Millisecond
)

// exchange is a unit of work in progress at an owner.
type exchange struct {
	connection *connection
	open       *wire.Open
	began      time.Time
	deadline   time.Time

	// connection.mu guards the following fields.
	stream          net.Conn
	writer          *frame.Writer
	tracker         frame.Tracker
	replayFrames    []forwardedFrame
	forwardedBytes  int
	replayable      bool
	answered        bool
	finished        bool
	aborted         bool
	ownerStatements map[string]bool
	pendingParses   []forwardedFrame
	replaceError    bool
}

// exchange starts a unit of work with its first batch.
func (c *connection) exchange(ctx context.Context, batch []frame.Frame, class statement.Class) {
	now := time.Now()
	x := &exchange{
		connection: c, began: now, deadline: now.Add(c.deadline), replayable: true, ownerStatements: map[string]bool{},
		open: &wire.Open{Group: c.group, User: c.user, StalenessMilliseconds: uint32(c.staleness.Milliseconds())},
	}
	if class == statement.Read || class == statement.BeginReadOnly {
		x.open.Access = wire.Access_ACCESS_READ
	}
	if refusal := c.attachRequestKey(x, batch, class); refusal != nil {
		c.refuseBatch(batch, refusal)
		return
	}
	c.mu.Lock()
	x.open.Floor = c.floor.Wire()
	x.open.FloorKnown = c.floorKnown
	for _, f := range batch {
		x.add(f)
	}
	c.active = x
	c.mu.Unlock()
	c.server.open.Go(func() { x.run(ctx) })
}

// attachRequestKey attaches the request key to a batch that executes something; a key is used once.
func (c *connection) attachRequestKey(x *exchange, batch []frame.Frame, class statement.Class) *outcome.Refusal {
	runs := slices.ContainsFunc(batch, func(f frame.Frame) bool {
		return f.Type == frame.Query || f.Type == frame.Execute
	})
	if c.requestKey == "" || !runs {
		return nil
	}
	key := c.requestKey
	c.requestKey = ""
	if class != statement.Write && class != statement.Read {
		return badSetting("request key %q is for a batch outside of a transaction", key)
	}
	x.open.RequestKey = key
	x.open.Access = wire.Access_ACCESS_WRITE
	return nil
}

// forward sends a further frame of the caller to the owner; false means that the unit has finished.
func (x *exchange) forward(f frame.Frame) bool {
	c := x.connection
	text, runs := c.textOf(f)
	refused := runs && statement.Classify(text) == statement.SessionState
	c.mu.Lock()
	defer c.mu.Unlock()
	for x.stream == nil && x.forwardedBytes > maxBatchBytes && !x.finished && !x.aborted {
		c.activeChanged.Wait()
	}
	if x.finished {
		return false
	}
	if refused {
		f = failingFrame(f)
		x.replaceError = true
	}
	added := x.add(f)
	if x.stream == nil {
		return true
	}
	for _, a := range added {
		if x.writer.Write(a.frame) != nil {
			return true
		}
	}
	switch f.Type {
	case frame.Parse, frame.Bind, frame.Describe, frame.Execute, frame.Close:
		return true
	}
	// A write error also ends the goroutine that reads the owner's answers, which handles it.
	_ = x.writer.Flush()
	return true
}

// run finds an owner and relays its answers until the unit has finished.
func (x *exchange) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	refusal := noOwnerRefusal(x.connection.group)
	for attempt := 0; ; attempt++ {
		vm, last := x.connection.server.ownerFor(x.connection.group, attempt)
		next := x.attempt(ctx, vm)
		if next == nil {
			return
		}
		if vm != "" {
			refusal = next
		}
		if last && refusal.Code == outcome.QueueFull || !x.waitForRetry(ctx, last) {
			x.finish(refusal)
			return
		}
	}
}

// waitForRetry waits after the last owner before all are retried; false means that the deadline
// has passed.
func (x *exchange) waitForRetry(ctx context.Context, last bool) bool {
	if !last {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(ownerRetryDelay):
		return true
	}
}

func noOwnerRefusal(group string) *outcome.Refusal {
	return outcome.NotRun(outcome.NotOwner, "no entry VM serves database "+group+" now", "Send it again; owners change within seconds.")
}

// attempt runs the unit at one owner; a refusal means that it was not run there and may be
// retried at another.
func (x *exchange) attempt(ctx context.Context, vm string) *outcome.Refusal {
	c := x.connection
	x.open.DeadlineMilliseconds = uint32(max(1, time.Until(x.deadline).Milliseconds()))
	stream, err := c.server.Links.OpenStream(ctx, c.server.View.Member(vm).GetLinkAddress(), x.open)
	if err != nil {
		return noOwnerRefusal(c.group)
	}
	defer func() { _ = stream.Close() }()
	c.server.Metrics.LinkStreams.Add(1)
	if !x.attachStream(stream) {
		return nil
	}
	reader := frame.NewReader(stream)
	for {
		f, err := reader.Next()
		if err != nil {
			return x.handleLostStream()
		}
		if f.Type == frame.Refusal {
			return x.handleRefusal(f)
		}
		if x.relay(f, !reader.Buffered()) {
			return nil
		}
	}
}

// attachStream sets the unit's stream and sends the replay frames; false means that it was aborted.
func (x *exchange) attachStream(stream net.Conn) bool {
	c := x.connection
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.aborted {
		return false
	}
	x.stream = stream
	c.activeChanged.Broadcast()
	x.writer = frame.NewWriter(stream)
	x.pendingParses = nil
	for _, s := range x.replayFrames {
		if s.frame.Type == frame.Parse {
			x.pendingParses = append(x.pendingParses, s)
		}
		if x.writer.Write(s.frame) != nil {
			return true
		}
	}
	_ = x.writer.Flush()
	return true
}

// relay sends one frame to the caller and reports whether the unit has finished. One lock covers
// recording and writing the frame, so that no answer to a later unit can overtake it.
func (x *exchange) relay(f frame.Frame, flush bool) bool {
	c := x.connection
	c.writeMu.Lock()
	f, drop, over := x.recordAnswer(f)
	if drop {
		c.writeMu.Unlock()
		return false
	}
	err := c.writer.Write(f)
	if err == nil && (flush || f.Type == frame.ReadyForQuery) {
		err = c.writer.Flush()
	}
	c.writeMu.Unlock()
	if err != nil {
		x.abort()
		x.release(over)
		return true
	}
	if over {
		x.release(true)
	}
	return over
}

// recordAnswer updates the unit's state from a frame and returns the frame to send to the caller.
func (x *exchange) recordAnswer(f frame.Frame) (out frame.Frame, drop, over bool) {
	c := x.connection
	c.mu.Lock()
	defer c.mu.Unlock()
	switch f.Type {
	case frame.ParseComplete:
		return f, x.parseCompleted(), false
	case frame.ParameterStatus:
		x.recordFloor(f)
		return f, false, false
	case frame.ErrorResponse:
		if x.replaceError {
			f = refusedState().Frame()
			x.replaceError = false
		}
	case frame.ReadyForQuery:
		x.replaceError = false
		x.pendingParses = nil
		over = x.tracker.Ready(f.Body[0])
		x.finished = over
	}
	x.answered = true
	x.replayable = false
	x.replayFrames = nil
	return f, false, over
}

// handleRefusal handles an owner's refusal; nil means that it was sent to the caller.
func (x *exchange) handleRefusal(f frame.Frame) *outcome.Refusal {
	f.Type = frame.ErrorResponse
	r, _ := outcome.Parse(f)
	if r == nil {
		r = outcome.MayHaveRun("the owner's answer does not decode")
	}
	if r.RetryableElsewhere() && x.detachStream() {
		return r
	}
	x.finish(r)
	return nil
}

// handleLostStream handles a stream that ended without an answer: a read may be retried elsewhere.
func (x *exchange) handleLostStream() *outcome.Refusal {
	c := x.connection
	if x.open.GetAccess() == wire.Access_ACCESS_READ && x.detachStream() {
		return noOwnerRefusal(c.group)
	}
	c.mu.Lock()
	inTransaction := x.tracker.InTransaction()
	outstanding := x.tracker.Outstanding()
	c.mu.Unlock()
	r := outcome.MayHaveRun("the owner of the database was lost before it answered")
	if inTransaction && outstanding == 0 {
		r = outcome.NotRun(outcome.TransactionLost, "the owner of the database was lost, so the transaction is rolled back", "Connect again and repeat the whole transaction.")
	}
	r.Fatal = inTransaction
	x.finish(r)
	return nil
}

// detachStream drops the stream and reports whether the unit can be replayed at another owner:
// every frame is kept and nothing was answered.
func (x *exchange) detachStream() bool {
	c := x.connection
	c.mu.Lock()
	defer c.mu.Unlock()
	x.stream = nil
	return x.replayable && !x.answered && !x.aborted
}

// finish ends the unit with a refusal.
func (x *exchange) finish(r *outcome.Refusal) {
	c := x.connection
	c.mu.Lock()
	x.finished = true
	pending := x.tracker.Outstanding()
	open := x.tracker.BatchOpen()
	inTransaction := x.tracker.InTransaction()
	hungUp := x.aborted
	c.mu.Unlock()
	if hungUp {
		x.release(false)
		return
	}
	if r.Fatal || open || inTransaction {
		c.sendFatal(r)
		x.release(false)
		_ = c.conn.Close()
		return
	}
	frames := []frame.Frame{r.Frame()}
	for range pending {
		frames = append(frames, frame.Ready(frame.Idle))
	}
	_ = c.send(frames, true)
	x.release(false)
}

// release records the unit's metrics and frees the connection for the next unit of work.
func (x *exchange) release(done bool) {
	c := x.connection
	service, objective, _ := c.server.View.ServiceOf(c.group)
	limit := time.Duration(objective.LatencyMilliseconds) * time.Millisecond
	c.server.Metrics.CountRequest(service, done, time.Since(x.began), limit)
	c.mu.Lock()
	x.finished = true
	c.activeChanged.Broadcast()
	if c.active == x {
		c.active = nil
	}
	c.mu.Unlock()
	if c.server.isDraining() {
		c.closeForShutdown()
	}
}

// abort ends the unit because the caller has disconnected.
func (x *exchange) abort() {
	c := x.connection
	c.mu.Lock()
	defer c.mu.Unlock()
	x.aborted = true
	c.activeChanged.Broadcast()
	if x.stream != nil {
		_ = x.stream.SetDeadline(time.Now())
		_ = x.stream.Close()
	}
}

// cancel asks the owner to cancel the running statement.
func (x *exchange) cancel() {
	c := x.connection
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.stream == nil || x.finished {
		return
	}
	if x.writer.Write(frame.Frame{Type: frame.Cancel}) == nil {
		_ = x.writer.Flush()
	}
}
