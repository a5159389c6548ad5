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
	redirectPause = 20 * time.Millisecond
)

// exchange is a unit of work under way at an owner.
type exchange struct {
	session  *connection
	open     *wire.Open
	began    time.Time
	deadline time.Time

	// The following are guarded by session.mu.
	stream   net.Conn
	writer   *frame.Writer
	tracker  frame.Tracker
	kept     []sent
	keptSize int
	complete bool
	answered bool
	over     bool
	hungUp   bool
	known    map[string]bool
	parses   []sent
	refusing bool
}

// exchange starts a unit of work with its first batch.
func (c *connection) exchange(ctx context.Context, batch []frame.Frame, class statement.Class) {
	now := time.Now()
	x := &exchange{
		session: c, began: now, deadline: now.Add(c.deadline), complete: true, known: map[string]bool{},
		open: &wire.Open{Group: c.group, User: c.user, StalenessMilliseconds: uint32(c.staleness.Milliseconds())},
	}
	if class == statement.Read || class == statement.BeginReadOnly {
		x.open.Access = wire.Access_ACCESS_READ
	}
	if refusal := c.useKey(x, batch, class); refusal != nil {
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

// useKey takes the request key for a batch that runs something; a key serves once.
func (c *connection) useKey(x *exchange, batch []frame.Frame, class statement.Class) *outcome.Refusal {
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

// feed takes a further frame of the caller; false means that the unit is over.
func (x *exchange) feed(f frame.Frame) bool {
	c := x.session
	text, runs := c.textOf(f)
	refused := runs && statement.Classify(text) == statement.SessionState
	c.mu.Lock()
	defer c.mu.Unlock()
	for x.stream == nil && x.keptSize > maxBatchBytes && !x.over && !x.hungUp {
		c.moved.Wait()
	}
	if x.over {
		return false
	}
	if refused {
		f = refusedFrame(f)
		x.refusing = true
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
	// A failed write is found out by the goroutine that reads the owner's answers.
	_ = x.writer.Flush()
	return true
}

// run finds an owner and passes its answers on until the unit is over.
func (x *exchange) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	refusal := notServed(x.session.group)
	for attempt := 0; ; attempt++ {
		vm, last := x.session.server.ownerFor(x.session.group, attempt)
		next := x.attempt(ctx, vm)
		if next == nil {
			return
		}
		if vm != "" {
			refusal = next
		}
		if last && refusal.Code == outcome.QueueFull || !x.wait(ctx, last) {
			x.finish(refusal)
			return
		}
	}
}

// wait pauses before the owners are tried anew; false means that there is no time left.
func (x *exchange) wait(ctx context.Context, last bool) bool {
	if !last {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(redirectPause):
		return true
	}
}

func notServed(group string) *outcome.Refusal {
	return outcome.NotRun(outcome.NotOwner, "no entry VM serves database "+group+" now", "Send it again; owners change within seconds.")
}

// attempt runs the unit at one owner; a refusal means that it was not run there and may be
// tried at another.
func (x *exchange) attempt(ctx context.Context, vm string) *outcome.Refusal {
	c := x.session
	x.open.DeadlineMilliseconds = uint32(max(1, time.Until(x.deadline).Milliseconds()))
	stream, err := c.server.Links.OpenStream(ctx, c.server.View.Member(vm).GetLinkAddress(), x.open)
	if err != nil {
		return notServed(c.group)
	}
	defer func() { _ = stream.Close() }()
	c.server.Metrics.LinkStreams.Add(1)
	if !x.connect(stream) {
		return nil
	}
	reader := frame.NewReader(stream)
	for {
		f, err := reader.Next()
		if err != nil {
			return x.broken()
		}
		if f.Type == frame.Refusal {
			return x.refused(f)
		}
		if x.pass(f, !reader.Buffered()) {
			return nil
		}
	}
}

// connect gives the unit a stream and sends what has been kept.
func (x *exchange) connect(stream net.Conn) bool {
	c := x.session
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.hungUp {
		return false
	}
	x.stream = stream
	c.moved.Broadcast()
	x.writer = frame.NewWriter(stream)
	x.parses = nil
	for _, s := range x.kept {
		if s.frame.Type == frame.Parse {
			x.parses = append(x.parses, s)
		}
		if x.writer.Write(s.frame) != nil {
			return true
		}
	}
	_ = x.writer.Flush()
	return true
}

// pass passes one frame on and reports whether the unit is over. The frame is noted and written
// under one lock, so that no answer to a later unit can overtake it.
func (x *exchange) pass(f frame.Frame, flush bool) bool {
	c := x.session
	c.writing.Lock()
	f, drop, over := x.take(f)
	if drop {
		c.writing.Unlock()
		return false
	}
	err := c.writer.Write(f)
	if err == nil && (flush || f.Type == frame.ReadyForQuery) {
		err = c.writer.Flush()
	}
	c.writing.Unlock()
	if err != nil {
		x.hangUp()
		x.ended(over)
		return true
	}
	if over {
		x.ended(true)
	}
	return over
}

// take notes what a frame says and returns it as the caller is to get it.
func (x *exchange) take(f frame.Frame) (out frame.Frame, drop, over bool) {
	c := x.session
	c.mu.Lock()
	defer c.mu.Unlock()
	switch f.Type {
	case frame.ParseComplete:
		return f, x.prepared(), false
	case frame.ParameterStatus:
		x.takeFloor(f)
		return f, false, false
	case frame.ErrorResponse:
		if x.refusing {
			f = refusedState().Frame()
			x.refusing = false
		}
	case frame.ReadyForQuery:
		x.refusing = false
		x.parses = nil
		over = x.tracker.Ready(f.Body[0])
		x.over = over
	}
	x.answered = true
	x.complete = false
	x.kept = nil
	return f, false, over
}

// refused deals with an owner's refusal; nil means that the caller has been told.
func (x *exchange) refused(f frame.Frame) *outcome.Refusal {
	f.Type = frame.ErrorResponse
	r, _ := outcome.Parse(f)
	if r == nil {
		r = outcome.MayHaveRun("the owner's answer does not decode")
	}
	if r.Elsewhere() && x.detach() {
		return r
	}
	x.finish(r)
	return nil
}

// broken deals with a stream that ended without an answer: a read may be run elsewhere.
func (x *exchange) broken() *outcome.Refusal {
	c := x.session
	if x.open.GetAccess() == wire.Access_ACCESS_READ && x.detach() {
		return notServed(c.group)
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

// detach takes the stream away if all that the caller sent is kept and nothing was answered.
func (x *exchange) detach() bool {
	c := x.session
	c.mu.Lock()
	defer c.mu.Unlock()
	x.stream = nil
	return x.complete && !x.answered && !x.hungUp
}

// finish ends the unit with an outcome other than done.
func (x *exchange) finish(r *outcome.Refusal) {
	c := x.session
	c.mu.Lock()
	x.over = true
	pending := x.tracker.Outstanding()
	open := x.tracker.BatchOpen()
	inTransaction := x.tracker.InTransaction()
	hungUp := x.hungUp
	c.mu.Unlock()
	if hungUp {
		x.ended(false)
		return
	}
	if r.Fatal || open || inTransaction {
		c.fatal(r)
		x.ended(false)
		_ = c.conn.Close()
		return
	}
	frames := []frame.Frame{r.Frame()}
	for range pending {
		frames = append(frames, frame.Ready(frame.Idle))
	}
	_ = c.send(frames, true)
	x.ended(false)
}

// ended makes room for the next unit of work.
func (x *exchange) ended(done bool) {
	c := x.session
	service, objective, _ := c.server.View.ServiceOf(c.group)
	limit := time.Duration(objective.LatencyMilliseconds) * time.Millisecond
	c.server.Metrics.Request(service, done, time.Since(x.began), limit)
	c.mu.Lock()
	x.over = true
	c.moved.Broadcast()
	if c.active == x {
		c.active = nil
	}
	c.mu.Unlock()
	if c.server.isDraining() {
		c.endIdle()
	}
}

// hangUp ends the unit since the caller is gone.
func (x *exchange) hangUp() {
	c := x.session
	c.mu.Lock()
	defer c.mu.Unlock()
	x.hungUp = true
	c.moved.Broadcast()
	if x.stream != nil {
		_ = x.stream.SetDeadline(time.Now())
		_ = x.stream.Close()
	}
}

// cancel asks the owner to cancel what runs.
func (x *exchange) cancel() {
	c := x.session
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.stream == nil || x.over {
		return
	}
	if x.writer.Write(frame.Frame{Type: frame.Cancel}) == nil {
		_ = x.writer.Flush()
	}
}
