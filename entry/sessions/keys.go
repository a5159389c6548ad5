package sessions

import (
	"cmp"
	"context"
	"time"

	"trefoilcourse/coord/clock"
	"trefoilcourse/coord/config"
	"trefoilcourse/coord/workspace"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/entry/statement"
)

// newKeyTimeout limits the wait of a session with an unknown key for the keys that are in force now: a
// VM learns of a new key with its next renewal, and callers may use the key before.
const newKeyTimeout = time.Second

// keyMessages tells callers why their key does not give access.
var keyMessages = map[workspace.Refusal]string{
	workspace.UnknownKey:   "no workspace has this key",
	workspace.KeyRemoved:   "the key of this session was removed",
	workspace.KeysOutdated: "this entry VM cannot confirm its keys; connect again, another one answers",
}

func (s *Sessions) keyLifetime() time.Duration { return cmp.Or(s.KeyLifetime, view.ConfirmWithin) }

// admit sets the session's identity, or answers why its key does not give access.
func (s *Session) admit(ctx context.Context, key string) statement.Answer {
	ctx, cancel := context.WithTimeout(ctx, newKeyTimeout)
	defer cancel()
	arrived := clock.Now()
	digest := config.KeyDigest(key)
	for {
		changed := s.sessions.View.Changed()
		caller, refusal := s.sessions.View.Admit(s.database, digest, s.sessions.keyLifetime())
		if refusal == workspace.None {
			s.caller = caller
			return statement.Answer{Outcome: statement.Done}
		}
		if refusal == workspace.UnknownKey && s.sessions.View.KeyAge() > clock.Now().Sub(arrived) {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
			}
		}
		s.recordKeyRefusal(refusal, "session was refused because of its key")
		return refuseKey(refusal)
	}
}

// checkKey decides whether the next statement may run with the session's key. A transaction keeps the
// workspace in which it began.
func (s *Session) checkKey(k statement.Kind) statement.Answer {
	caller, refusal := s.sessions.View.CheckCaller(s.database, s.caller, s.sessions.keyLifetime())
	switch refusal {
	case workspace.None:
		if s.State() == statement.Idle {
			s.caller = caller
		}
		return statement.Answer{Outcome: statement.Done}
	case workspace.KeysOutdated:
		s.recordKeyRefusal(refusal, "statement was refused because the keys are outdated")
		s.abandonTransaction(k)
	default:
		s.recordKeyRefusal(refusal, "session was ended because its key was removed")
		s.Close()
	}
	return refuseKey(refusal)
}

// abandonTransaction rolls back an open transaction, one of whose statements was refused. It has ended
// if that statement was to end it.
func (s *Session) abandonTransaction(k statement.Kind) {
	if s.State() == statement.Idle {
		return
	}
	s.dropTransaction()
	s.state = statement.Failed
	if k == statement.Commit || k == statement.Rollback {
		s.state = statement.Idle
	}
}

func refuseKey(r workspace.Refusal) statement.Answer {
	if r == workspace.KeysOutdated {
		a := refuse(statement.NotRun, keyMessages[r])
		a.RetryMilliseconds = uint32(callerRetryDelay.Milliseconds())
		return a
	}
	return refuse(statement.NoAuth, keyMessages[r])
}

func (s *Session) recordKeyRefusal(r workspace.Refusal, message string) {
	s.sessions.Metrics.KeyRefusals.Add(string(r), 1)
	suppressed, ok := s.sessions.keyLogs.Allow(clock.Now())
	if !ok {
		return
	}
	s.sessions.Log.WithFields(map[string]any{
		"session": s.id, "database": s.database, "reason": string(r), "keys-age-ms": s.sessions.View.KeyAge().Milliseconds(),
		"configuration": s.sessions.View.Version(), "not-logged-before": suppressed,
	}).Info(message)
}
