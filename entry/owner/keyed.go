package owner

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/entry/backend"
	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/entry/internal/outcome"
)

// RequestKeyTable is the table that keeps request keys, in each database that uses them.
const RequestKeyTable = "trefoil_request_keys"

// runKeyed runs a batch in one transaction with the record of its request key, so that the key
// is kept exactly if the batch's effects are, and a repeat finds it wherever it is run.
func (u *unit) runKeyed(conn *backend.Conn) {
	key := u.open.GetRequestKey()
	first, err := u.claimKey(conn, key)
	if err != nil {
		u.group.putPrimary(conn, false)
		u.refuse(outcome.NotRun(outcome.ServerLost, "the request key could not be recorded: "+err.Error(), "Create the table "+RequestKeyTable+" or send it again."))
		return
	}
	if !first {
		u.repeatOutcome(conn, key)
		return
	}
	if err := u.attach(conn); err != nil {
		u.group.putPrimary(conn, false)
		u.refuse(u.lost())
		return
	}
	u.group.putPrimary(conn, u.relayKeyed(conn, key))
}

// claimKey begins a transaction and records the key; first is false when it was recorded before.
func (u *unit) claimKey(conn *backend.Conn, key string) (first bool, err error) {
	if _, err := conn.Ask("BEGIN", u.deadline); err != nil {
		return false, err
	}
	tag, err := conn.Run(fmt.Sprintf("INSERT INTO %s (key) VALUES ('%s') ON CONFLICT DO NOTHING", RequestKeyTable, key), u.deadline)
	if err != nil {
		return false, err
	}
	return tag == "INSERT 0 1", nil
}

// repeatOutcome answers a repeated request with the first outcome: it was done.
func (u *unit) repeatOutcome(conn *backend.Conn, key string) {
	rows, err := conn.Ask(fmt.Sprintf("SELECT outcome FROM %s WHERE key = '%s'", RequestKeyTable, key), u.deadline)
	if err == nil {
		_, err = conn.Ask("ROLLBACK", u.deadline)
	}
	if err != nil || len(rows) == 0 {
		u.group.putPrimary(conn, false)
		u.refuse(outcome.MayHaveRun("its request key is recorded, but the first outcome could not be read"))
		return
	}
	position, refusal := u.acknowledge(conn)
	u.group.putPrimary(conn, true)
	if refusal != nil {
		u.refuse(refusal)
		return
	}
	answer := append(u.synthesize(rows[0][0]), floorFrame(position), frame.Ready(frame.Idle))
	u.ready(frame.Idle)
	_ = u.serving.send(answer, true)
}

// synthesize makes the answers to the kept frames of a batch that is not run again.
func (u *unit) synthesize(tag string) []frame.Frame {
	u.mu.Lock()
	defer u.mu.Unlock()
	notice := &pgproto3.NoticeResponse{
		Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "00000",
		Message: "the request key was used before; this is the first outcome, and nothing was run again",
	}
	answer := []frame.Frame{frame.Encode(notice)}
	for _, f := range u.kept {
		switch f.Type {
		case frame.Parse:
			answer = append(answer, frame.Encode(&pgproto3.ParseComplete{}))
		case frame.Bind:
			answer = append(answer, frame.Encode(&pgproto3.BindComplete{}))
		case frame.Describe:
			answer = append(answer, frame.Encode(&pgproto3.NoData{}))
		case frame.Close:
			answer = append(answer, frame.Encode(&pgproto3.CloseComplete{}))
		case frame.Query, frame.Execute:
			answer = append(answer, frame.Encode(&pgproto3.CommandComplete{CommandTag: []byte(tag)}))
		}
	}
	return answer
}

// relayKeyed passes the answer on after the transaction with the key has been committed.
func (u *unit) relayKeyed(conn *backend.Conn, key string) bool {
	var answer []frame.Frame
	size := 0
	tag := ""
	for {
		f, err := conn.Next()
		if err != nil {
			u.refuse(u.lostKeyed())
			return false
		}
		f = u.answered(f)
		if f.Type == frame.CommandComplete {
			tag = string(f.Body[:max(0, len(f.Body)-1)])
		}
		if f.Type == frame.ReadyForQuery {
			return u.commitKeyed(conn, key, tag, answer, f.Body[0])
		}
		answer = append(answer, f)
		if size += f.Size(); size > maxKeptBytes {
			u.refuse(outcome.NotRun(outcome.Unsupported, "the answer is too large for a request with a key; it is rolled back", "Send it without a key, or ask for less."))
			return false
		}
	}
}

// lostKeyed says what a connection that failed before the commit was asked for means.
func (u *unit) lostKeyed() *outcome.Refusal {
	return outcome.NotRun(outcome.ServerLost, "the backend server was lost before the request was to be committed, so it is rolled back", "Send it again with the same key.")
}

func (u *unit) commitKeyed(conn *backend.Conn, key, tag string, answer []frame.Frame, status byte) bool {
	if status != frame.InTransaction {
		_, err := conn.Ask("ROLLBACK", u.deadline)
		u.ready(frame.Idle)
		_ = u.serving.send(append(answer, frame.Ready(frame.Idle)), true)
		return err == nil
	}
	update := fmt.Sprintf("UPDATE %s SET outcome = '%s' WHERE key = '%s'", RequestKeyTable, tag, key)
	if _, err := conn.Ask(update, u.deadline); err != nil {
		u.refuse(u.lostKeyed())
		return false
	}
	if _, err := conn.Ask("COMMIT", time.Now().Add(u.patience())); err != nil {
		u.refuse(outcome.MayHaveRun("the backend server was lost while it committed"))
		return false
	}
	position, refusal := u.acknowledge(conn)
	if refusal != nil {
		u.refuse(refusal)
		return false
	}
	u.group.owner.Metrics.WritesAcked.Add(1)
	u.ready(frame.Idle)
	_ = u.serving.send(append(answer, floorFrame(position), frame.Ready(frame.Idle)), true)
	return true
}
