package owner

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/entry/backend"
	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/entry/internal/outcome"
)

// RequestKeyTable is the table of request keys, in each database that uses them.
const RequestKeyTable = "trefoil_request_keys"

// runKeyed runs a batch in the same transaction as the insert of its request key. The key is stored if
// and only if the batch commits, so a repeat finds it on whichever server it runs.
func (u *unit) runKeyed(conn *backend.Conn) {
	key := u.open.GetRequestKey()
	first, err := u.recordKey(conn, key)
	if err != nil {
		u.group.releasePrimary(conn, false)
		u.refuse(outcome.NotRun(outcome.ServerLost, "the request key could not be recorded: "+err.Error(), "Create the table "+RequestKeyTable+" or send it again."))
		return
	}
	if !first {
		u.answerFirstOutcome(conn, key)
		return
	}
	if err := u.attach(conn); err != nil {
		u.group.releasePrimary(conn, false)
		u.refuse(u.connLostRefusal())
		return
	}
	u.group.releasePrimary(conn, u.relayKeyed(conn, key))
}

// recordKey begins a transaction and inserts the key; first is false if it already exists.
func (u *unit) recordKey(conn *backend.Conn, key string) (first bool, err error) {
	if _, err := conn.Query("BEGIN", u.deadline); err != nil {
		return false, err
	}
	tag, err := conn.Exec(fmt.Sprintf("INSERT INTO %s (key) VALUES ('%s') ON CONFLICT DO NOTHING", RequestKeyTable, key), u.deadline)
	if err != nil {
		return false, err
	}
	return tag == "INSERT 0 1", nil
}

// answerFirstOutcome answers a repeated request with the recorded outcome of the first.
func (u *unit) answerFirstOutcome(conn *backend.Conn, key string) {
	rows, err := conn.Query(fmt.Sprintf("SELECT outcome FROM %s WHERE key = '%s'", RequestKeyTable, key), u.deadline)
	if err == nil {
		_, err = conn.Query("ROLLBACK", u.deadline)
	}
	if err != nil || len(rows) == 0 {
		u.group.releasePrimary(conn, false)
		u.refuse(outcome.MayHaveRun("its request key is recorded, but the first outcome could not be read"))
		return
	}
	position, refusal := u.awaitAck(conn)
	u.group.releasePrimary(conn, true)
	if refusal != nil {
		u.refuse(refusal)
		return
	}
	answer := append(u.synthesizeAnswer(rows[0][0]), floorFrame(position), frame.Ready(frame.Idle))
	u.handleReady(frame.Idle)
	_ = u.stream.send(answer, true)
}

// synthesizeAnswer builds the answers to the buffered frames of a batch that is not run again.
func (u *unit) synthesizeAnswer(tag string) []frame.Frame {
	u.mu.Lock()
	defer u.mu.Unlock()
	notice := &pgproto3.NoticeResponse{
		Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "00000",
		Message: "the request key was used before; this is the first outcome, and nothing was run again",
	}
	answer := []frame.Frame{frame.Encode(notice)}
	for _, f := range u.buffered {
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

// relayKeyed buffers the answer and sends it after the transaction with the key has committed.
func (u *unit) relayKeyed(conn *backend.Conn, key string) bool {
	var answer []frame.Frame
	size := 0
	tag := ""
	for {
		f, err := conn.Next()
		if err != nil {
			u.refuse(u.keyedConnLostRefusal())
			return false
		}
		f = u.rewriteReply(f)
		if f.Type == frame.CommandComplete {
			tag = string(f.Body[:max(0, len(f.Body)-1)])
		}
		if f.Type == frame.ReadyForQuery {
			return u.commitKeyed(conn, key, tag, answer, f.Body[0])
		}
		answer = append(answer, f)
		if size += f.Size(); size > maxBufferedBytes {
			u.refuse(outcome.NotRun(outcome.Unsupported, "the answer is too large for a request with a key; it is rolled back", "Send it without a key, or ask for less."))
			return false
		}
	}
}

// keyedConnLostRefusal returns the outcome after the backend connection failed before COMMIT was sent.
func (u *unit) keyedConnLostRefusal() *outcome.Refusal {
	return outcome.NotRun(outcome.ServerLost, "the backend server was lost before the request was to be committed, so it is rolled back", "Send it again with the same key.")
}

func (u *unit) commitKeyed(conn *backend.Conn, key, tag string, answer []frame.Frame, status byte) bool {
	if status != frame.InTransaction {
		_, err := conn.Query("ROLLBACK", u.deadline)
		u.handleReady(frame.Idle)
		_ = u.stream.send(append(answer, frame.Ready(frame.Idle)), true)
		return err == nil
	}
	update := fmt.Sprintf("UPDATE %s SET outcome = '%s' WHERE key = '%s'", RequestKeyTable, tag, key)
	if _, err := conn.Query(update, u.deadline); err != nil {
		u.refuse(u.keyedConnLostRefusal())
		return false
	}
	if _, err := conn.Query("COMMIT", time.Now().Add(u.answerTimeout())); err != nil {
		u.refuse(outcome.MayHaveRun("the backend server was lost while it committed"))
		return false
	}
	position, refusal := u.awaitAck(conn)
	if refusal != nil {
		u.refuse(refusal)
		return false
	}
	u.group.owner.Metrics.WritesAcked.Add(1)
	u.handleReady(frame.Idle)
	_ = u.stream.send(append(answer, floorFrame(position), frame.Ready(frame.Idle)), true)
	return true
}
