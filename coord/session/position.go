package session

import (
	"fmt"
	"strconv"
	"strings"

	"trefoilcourse/wire"
)

// Position is a position in a group's log, ordered by term, then by offset in bytes.
type Position struct {
	Term   uint64
	Offset uint64
}

// Less reports whether p orders before q.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// Max returns the later of p and q.
func (p Position) Max(q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// Wire converts p to its protobuf message.
func (p Position) Wire() *wire.Position {
	return &wire.Position{Term: p.Term, Offset: p.Offset}
}

// FromWire converts a protobuf message to a Position; nil gives the zero position.
func FromWire(w *wire.Position) Position {
	return Position{Term: w.GetTerm(), Offset: w.GetOffset()}
}

// String formats the position as TERM/OFFSET, both in hexadecimal.
func (p Position) String() string { return fmt.Sprintf("%X/%X", p.Term, p.Offset) }

// ParsePosition parses the format that String returns.
func ParsePosition(token string) (Position, error) {
	term, offset, ok := strings.Cut(token, "/")
	if !ok {
		return Position{}, fmt.Errorf("position %q is not of the form TERM/OFFSET", token)
	}
	t, err := strconv.ParseUint(term, 16, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q has no valid term: %w", token, err)
	}
	o, err := strconv.ParseUint(offset, 16, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q has no valid offset: %w", token, err)
	}
	return Position{Term: t, Offset: o}, nil
}
