package correlate

import (
	"hash/maphash"
	"slices"

	"trefoilcourse/coord/session"
)

const (
	// rememberedSignatures bounds the signatures that a connection remembers. A copy that comes later
	// than that is found by its position, unless nothing was committed meanwhile.
	rememberedSignatures = 256
	// rememberedAnswers bounds the unsigned answers that a connection remembers.
	rememberedAnswers = 64
)

// hashSeed is the same for all connections, since hashes do not leave the process.
var hashSeed = maphash.MakeSeed()

// Answer is what is compared of a server's answer.
type Answer struct {
	// Complete is false for an end of an answer without a result before it.
	Complete bool
	// Signature identifies one execution of a statement; empty if the answer has none.
	Signature string
	// Code is that of an error; empty for a success.
	Code string
	Rows []string
	// State is the connection's transaction state: I, T or E.
	State byte
	// Position is that of the server's log when it answered.
	Position session.Position
}

// hash identifies an unsigned answer.
func (a Answer) hash() uint64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	for _, row := range a.Rows {
		_, _ = h.WriteString(row)
		_ = h.WriteByte('\n')
	}
	_, _ = h.WriteString(a.Code)
	_ = h.WriteByte(a.State)
	maphash.WriteComparable(&h, a.Position)
	return h.Sum64()
}

// Question describes the answers that a question can get.
type Question struct {
	// Signed says that each success has a signature.
	Signed bool
	// State is the transaction state after a success; 0 means any.
	State byte
}

// Doubt is why an answer may be the copy of an earlier one.
type Doubt string

// The reasons for doubt; NoDoubt means that the answer is no copy.
const (
	NoDoubt           Doubt = ""
	RepeatedSignature Doubt = "repeated-signature"
	RepeatedError     Doubt = "repeated-error"
	RepeatedAnswer    Doubt = "repeated-answer"
	OlderPosition     Doubt = "older-position"
	NoResult          Doubt = "no-result"
	NoSignature       Doubt = "no-signature"
	UnexpectedState   Doubt = "unexpected-state"
)

// History remembers the answers of one connection; the zero value is ready to use.
type History struct {
	signatures recent
	answers    recent
	codes      []string
	highest    session.Position
}

// recent remembers the hashes that were added last.
type recent struct {
	hashes []uint64
	next   int
}

func (r *recent) has(hash uint64) bool { return slices.Contains(r.hashes, hash) }

// add remembers a hash, in place of the oldest one if there are limit.
func (r *recent) add(hash uint64, limit int) {
	if len(r.hashes) < limit {
		r.hashes = append(r.hashes, hash)
		return
	}
	r.hashes[r.next] = hash
	r.next = (r.next + 1) % limit
}

func signatureHash(signature string) uint64 { return maphash.String(hashSeed, signature) }

// Observe remembers an answer and returns why it may not be the one to a question.
func (h *History) Observe(q Question, a Answer) Doubt {
	doubt := h.examine(q, a)
	h.record(a)
	return doubt
}

// examine returns why an answer may not be the one to a question.
func (h *History) examine(q Question, a Answer) Doubt {
	switch {
	case !a.Complete:
		return NoResult
	case a.Code != "":
		if slices.Contains(h.codes, a.Code) {
			return RepeatedError
		}
	case a.Signature != "" && h.signatures.has(signatureHash(a.Signature)):
		return RepeatedSignature
	case q.Signed && a.Signature == "":
		return NoSignature
	case q.State != 0 && a.State != q.State:
		return UnexpectedState
	case !q.Signed && h.answers.has(a.hash()):
		return RepeatedAnswer
	}
	if a.Position.Less(h.highest) {
		return OlderPosition
	}
	return NoDoubt
}

// record remembers an answer.
func (h *History) record(a Answer) {
	if a.Code != "" && !slices.Contains(h.codes, a.Code) {
		h.codes = append(h.codes, a.Code)
	}
	if a.Signature != "" {
		h.signatures.add(signatureHash(a.Signature), rememberedSignatures)
	} else {
		h.answers.add(a.hash(), rememberedAnswers)
	}
	if h.highest.Less(a.Position) {
		h.highest = a.Position
	}
}
