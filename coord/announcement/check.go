package announcement

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"trefoilcourse/wire"
)

const (
	// maxNameBytes is the maximum length of a name in an announcement.
	maxNameBytes = 128
	// maxConcurrency is the maximum number of statements that a server may announce to run at once.
	maxConcurrency = 1 << 16
	// maxExactInteger is the largest number up to which writers of JSON represent every integer exactly.
	maxExactInteger = 1 << 53
	maxPort         = 1<<16 - 1
)

// Error is a field of an announcement that cannot be used.
type Error struct {
	// Field is the field as the wire types name it.
	Field string
	// Problem says what is wrong with it.
	Problem string
}

// Error implements error.
func (e *Error) Error() string {
	return "the announcement's " + e.Field + " " + e.Problem
}

// Check returns an *Error for an announcement that no server sends. Everything that
// an announcement contains reaches every entry VM and the connections to servers, so names must be text
// without blanks and an address must be one that can be connected to.
func Check(a *wire.Announcement) error {
	names := []struct{ field, value string }{{"slot", a.GetSlot()}}
	if !a.GetGone() {
		names = append(names, struct{ field, value string }{"group", a.GetGroup()},
			struct{ field, value string }{"incarnation", a.GetIncarnation()},
			struct{ field, value string }{"failure domain", a.GetFailureDomain()})
	}
	for _, n := range names {
		if problem := nameProblem(n.value); problem != "" {
			return &Error{n.field, problem}
		}
	}
	switch {
	case a.GetBorn() > maxExactInteger:
		return &Error{"start time", "is too large"}
	case a.GetSequence() > maxExactInteger:
		return &Error{"sequence", "is too large"}
	case a.GetConcurrency() > maxConcurrency:
		return &Error{"concurrency", fmt.Sprintf("is over %d", maxConcurrency)}
	case a.GetGone():
		return nil
	}
	return checkAddress(a.GetAddress())
}

func nameProblem(name string) string {
	switch {
	case name == "" || len(name) > maxNameBytes:
		return fmt.Sprintf("has %d bytes instead of 1 to %d", len(name), maxNameBytes)
	case !utf8.ValidString(name):
		return "is not text"
	case strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsGraphic(r) }):
		return fmt.Sprintf("%q contains blanks or control characters", name)
	}
	return ""
}

func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return &Error{"address", fmt.Sprintf("%q is not a host and a port", address)}
	}
	if problem := nameProblem(host); problem != "" {
		return &Error{"address", "has a host that " + problem}
	}
	if number, err := strconv.ParseUint(port, 10, 64); err != nil || number == 0 || number > maxPort {
		return &Error{"address", fmt.Sprintf("%q has no port from 1 to %d", address, maxPort)}
	}
	return nil
}
