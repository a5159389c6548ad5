package outcome

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/entry/internal/frame"
)

// SQLSTATEs of outcomes; those that begin with TFN mean that the request was not run.
const (
	Unknown         = "40003"
	Unsupported     = "0A000"
	ReadOnly        = "25006"
	AdminShutdown   = "57P01"
	UnknownDatabase = "3D000"
	QueueFull       = "TFN01"
	TooLate         = "TFN02"
	NoPrimary       = "TFN03"
	Unconfirmed     = "TFN04"
	NotOwner        = "TFN05"
	ServerLost      = "TFN06"
	NoReplica       = "TFN07"
	TransactionLost = "TFN08"
	Draining        = "TFN09"
	BadSetting      = "TFN10"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
	classNotRun   = "TFN"
)

// Refusal is the error for a request that was not run or whose outcome is unknown.
type Refusal struct {
	Code    string
	Message string
	Hint    string
	// Fatal closes the caller's connection after the error.
	Fatal bool
}

// Error returns the message.
func (r *Refusal) Error() string { return r.Message }

// RetryableElsewhere reports whether the request may succeed at another owner.
func (r *Refusal) RetryableElsewhere() bool {
	switch r.Code {
	case NotOwner, NoPrimary, QueueFull, Unconfirmed:
		return true
	}
	return false
}

// Frame returns the refusal as an ErrorResponse.
func (r *Refusal) Frame() frame.Frame {
	severity := severityError
	if r.Fatal {
		severity = severityFatal
	}
	return frame.Error(severity, r.Code, r.Message, r.Hint)
}

// NotRun returns a refusal which states that the request was not run.
func NotRun(code, reason, hint string) *Refusal {
	return &Refusal{Code: code, Message: "not run: " + reason, Hint: hint}
}

// MayHaveRun returns a refusal with an unknown outcome.
func MayHaveRun(reason string) *Refusal {
	return &Refusal{
		Code: Unknown, Message: "unknown: the request may have run: " + reason,
		Hint: "Look for its effect before sending it again, or send it with a request key.",
	}
}

// Parse decodes a refusal encoded by Frame; ok is false if a server generated the error.
func Parse(f frame.Frame) (r *Refusal, ok bool) {
	var m pgproto3.ErrorResponse
	if f.Type != frame.ErrorResponse || m.Decode(f.Body) != nil {
		return nil, false
	}
	r = &Refusal{Code: m.Code, Message: m.Message, Hint: m.Hint, Fatal: m.Severity == severityFatal}
	return r, IsNotRun(m.Code)
}

// IsNotRun reports whether a SQLSTATE is one of the proxy's for a request that was not run.
func IsNotRun(code string) bool {
	return strings.HasPrefix(code, classNotRun)
}
