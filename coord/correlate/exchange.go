package correlate

// FenceQuestions is how many questions a fence has. They are answered alike, and so are steps and earlier fences: up to
// FenceQuestions-1 copies of such answers at once do not end the wait for the genuine answer too early.
const FenceQuestions = 8

// Step is what to do after an answer has arrived.
type Step int

// The steps of an exchange.
const (
	// Accept takes the answer that has just arrived.
	Accept Step = iota
	// AcceptKept takes the answer that Fence or Keep has put aside.
	AcceptKept
	// Fence puts the answer aside, as it may be a copy, and sends a fence.
	Fence
	// Keep puts the answer aside in place of the one before; answers of the fence are still to come.
	Keep
	// Skip drops the answer: it belongs to an earlier question or to the fence.
	Skip
	// Ambiguous ends the exchange: it cannot be told which answer is the one.
	Ambiguous
)

// Exchange finds the answer to one question.
type Exchange struct {
	history  *History
	question Question
	// kept is the answer that was put aside when the fence was sent.
	kept *Answer
	// genuine is set once kept is known to be no copy.
	genuine bool
	// fenceAnswers counts the answers that the fence may have got by transaction state, which is the same in all of
	// its own.
	fenceAnswers map[byte]int
	skipped      int
	doubt        Doubt
}

// Ask begins the exchange for a question that is sent now.
func (h *History) Ask(q Question) *Exchange { return &Exchange{history: h, question: q} }

// Skipped returns how many answers were dropped as those to earlier questions.
func (e *Exchange) Skipped() int { return e.skipped }

// Doubt returns why an answer that arrived may not be the one.
func (e *Exchange) Doubt() Doubt { return e.doubt }

// Receive returns what to do with an answer that has arrived.
func (e *Exchange) Receive(a Answer) Step {
	doubt := e.history.examine(e.question, a)
	e.history.record(a)
	if e.kept != nil {
		return e.settle(a, doubt)
	}
	if doubt != NoDoubt {
		e.doubt = doubt
	}
	switch {
	case doubt == NoDoubt && e.question.Followed && e.skipped > 0 && a.Signature != "":
		// It is the answer to the question that follows, so one that was dropped was genuine.
		return Ambiguous
	case doubt == NoDoubt:
		return Accept
	case doubt.excludes() || e.question.Followed && doubt == RepeatedError:
		e.drop()
		return Skip
	case e.question.Followed:
		return Accept
	case e.history.stutters:
		return Ambiguous
	}
	e.kept, e.fenceAnswers = &a, map[byte]int{}
	return Fence
}

// settle receives an answer after the fence was sent.
func (e *Exchange) settle(a Answer, doubt Doubt) Step {
	switch {
	case e.history.answersFence(a):
		e.fenceAnswers[a.State]++
		if e.fenceAnswers[a.State] < FenceQuestions {
			return Skip
		}
		return e.finish(a)
	case e.genuine || doubt.excludes():
		e.drop()
		return Skip
	case doubt != NoDoubt:
		// Either of the two answers may be a copy.
		return Ambiguous
	}
	e.drop()
	e.kept, e.genuine = &a, true
	return Keep
}

// finish ends the exchange with the last answer of the fence, which shows the transaction state after the question.
func (e *Exchange) finish(last Answer) Step {
	changed, succeeded := last.State == e.question.State, e.kept.Code == ""
	switch {
	case last.State == e.kept.State && (e.question.State == 0 || changed == succeeded):
		return AcceptKept
	case changed && !succeeded && !e.genuine:
		// The error was a copy, and the genuine success was counted as an answer of the fence.
		e.drop()
		return Accept
	}
	return Ambiguous
}

// drop notes that an answer was a copy.
func (e *Exchange) drop() {
	e.skipped++
	e.history.stutters = true
}
