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
	// rememberedCodes bounds the codes of errors that a connection remembers.
	rememberedCodes = 16
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
	// HasRows says that each success has rows.
	HasRows bool
	// Followed says that another question was sent with this one. A copy without a signature is not told
	// from its answer; the genuine answer then arrives in place of the next one, which shows it.
	Followed bool
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
	NoRows            Doubt = "no-rows"
	UnexpectedState   Doubt = "unexpected-state"
)

// excludes reports whether an answer with this doubt cannot be the one to the question.
func (d Doubt) excludes() bool {
	return d == RepeatedSignature || d == NoResult || d == NoSignature || d == NoRows || d == UnexpectedState
}

// History remembers the answers of one connection; the zero value is ready to use.
type History struct {
	// FenceRefusals are the codes with which questions of a fence are refused, as in a failed transaction.
	FenceRefusals []string

	signatures, answers, codes recent
	highest                    session.Position
	// stutters is set once a copy has arrived. Then copies of a fence's answers may come as well, and a fence proves
	// nothing.
	stutters bool
}

// recent remembers the hashes that were added last, the oldest first.
type recent []uint64

func (r recent) has(hash uint64) bool { return slices.Contains(r, hash) }

// add remembers a hash as the latest, in place of the oldest one if there are limit.
func (r *recent) add(hash uint64, limit int) {
	if i := slices.Index(*r, hash); i >= 0 {
		*r = slices.Delete(*r, i, i+1)
	} else if len(*r) >= limit {
		*r = slices.Delete(*r, 0, 1)
	}
	*r = append(*r, hash)
}

func hashOf(text string) uint64 { return maphash.String(hashSeed, text) }

// examine returns why an answer may not be the one to a question.
func (h *History) examine(q Question, a Answer) Doubt {
	switch {
	case !a.Complete:
		return NoResult
	case a.Code != "":
		if h.codes.has(hashOf(a.Code)) {
			return RepeatedError
		}
	case a.Signature != "" && h.signatures.has(hashOf(a.Signature)):
		return RepeatedSignature
	case q.Signed && a.Signature == "":
		return NoSignature
	case q.HasRows && len(a.Rows) == 0:
		return NoRows
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

// answersFence reports whether a question of a fence may be answered like this.
func (h *History) answersFence(a Answer) bool {
	if a.Code != "" {
		return slices.Contains(h.FenceRefusals, a.Code)
	}
	return a.Complete && a.Signature == "" && len(a.Rows) == 0
}

// record remembers an answer.
func (h *History) record(a Answer) {
	if a.Code != "" {
		h.codes.add(hashOf(a.Code), rememberedCodes)
	}
	if a.Signature != "" {
		h.signatures.add(hashOf(a.Signature), rememberedSignatures)
	} else {
		h.answers.add(a.hash(), rememberedAnswers)
	}
	if h.highest.Less(a.Position) {
		h.highest = a.Position
	}
}
