// Package correlate finds the answer to a question on a connection whose protocol carries no ids.
//
// Such answers are matched to questions by their order alone. A server that sends an answer twice breaks the
// order: the copy arrives in place of a later answer. History remembers what a connection has answered, and
// Exchange decides for each answer that arrives after a question whether it is the one:
//
//	e := history.Ask(correlate.Question{Signed: true})
//	for {
//		a := read()
//		switch e.Receive(a) {
//		case correlate.Accept:
//			return a
//		case correlate.AcceptKept:
//			return kept
//		case correlate.Fence:
//			kept = a
//			sendFence()
//		case correlate.Keep:
//			kept = a
//		case correlate.Skip:
//		case correlate.Ambiguous:
//			return errAmbiguous
//		}
//	}
//
// The caller keeps one answer aside, kept, until the exchange ends; skipped ones are dropped.
//
// An answer that equals none of the earlier ones is no copy. A signature stands for one execution, so one that was seen
// before is a copy. Other answers that equal an earlier one may still be genuine: a server that is busy twice says
// so twice. The fence settles it: questions without an effect, sent once the doubtful answer has arrived, whose answers
// come after every genuine one. If nothing else arrives before them, the doubtful answer was genuine.
package correlate
