package statement

import "strings"

// Class determines how a statement is routed.
type Class int

// The classes of statements.
const (
	// Empty is text without a statement.
	Empty Class = iota
	// Read may run on a replica.
	Read
	// Write must run on the primary.
	Write
	// Begin starts a transaction on the primary.
	Begin
	// BeginReadOnly starts a read-only transaction, which may run on a replica.
	BeginReadOnly
	// End ends a transaction and may commit it.
	End
	// SessionState changes session state, which a shared connection cannot keep for one caller.
	SessionState
	// Setting reads or changes a setting of the proxy.
	Setting
)

const settingPrefix = "TREFOIL."

// Classify returns the class of a statement text. Text with several statements is a write, or
// SessionState if one of them changes session state.
func Classify(text string) Class {
	text, multiple := trimStatement(text)
	first, rest := nextWord(text)
	if multiple {
		return classifyMultiple(text)
	}
	switch first {
	case "":
		return Empty
	case "SELECT", "TABLE", "VALUES":
		return classifySelect(rest)
	case "BEGIN", "START":
		return classifyBegin(rest)
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return classifyEnd(rest)
	case "SET":
		return classifySet(rest)
	case "SHOW":
		return classifyShow(rest)
	case "RESET", "LISTEN", "UNLISTEN", "PREPARE", "DEALLOCATE", "DISCARD", "LOAD", "DECLARE":
		return classifySessionCommand(first, rest)
	case "CREATE":
		return classifyCreate(rest)
	}
	return Write
}

// classifyMultiple classifies text that may hold several statements. It splits at every semicolon,
// also within string literals.
func classifyMultiple(text string) Class {
	for part := range strings.SplitSeq(text, ";") {
		if Classify(part) == SessionState {
			return SessionState
		}
	}
	return Write
}

func classifySelect(rest string) Class {
	upper := strings.ToUpper(rest)
	if strings.Contains(upper, "PG_ADVISORY_LOCK") || strings.Contains(upper, "PG_TRY_ADVISORY_LOCK") {
		return SessionState
	}
	if strings.Contains(upper, "FOR UPDATE") || strings.Contains(upper, "FOR SHARE") ||
		strings.Contains(upper, "FOR NO KEY") || strings.Contains(upper, "FOR KEY") {
		return Write
	}
	return Read
}

func classifyBegin(rest string) Class {
	if strings.Contains(strings.ToUpper(rest), "READ ONLY") {
		return BeginReadOnly
	}
	return Begin
}

func classifyEnd(rest string) Class {
	if first, _ := nextWord(rest); first == "TO" || first == "PREPARED" {
		return Write
	}
	return End
}

func classifySet(rest string) Class {
	first, _ := nextWord(rest)
	switch {
	case strings.HasPrefix(first, settingPrefix):
		return Setting
	case first == "LOCAL" || first == "TRANSACTION" || first == "CONSTRAINTS":
		return Write
	}
	return SessionState
}

func classifyShow(rest string) Class {
	if first, _ := nextWord(rest); strings.HasPrefix(first, settingPrefix) {
		return Setting
	}
	return Read
}

// classifySessionCommand exempts PREPARE TRANSACTION and cursors without WITH HOLD, which end with
// their transaction.
func classifySessionCommand(first, rest string) Class {
	if first == "DECLARE" && !strings.Contains(strings.ToUpper(rest), "WITH HOLD") {
		return Write
	}
	if first == "PREPARE" {
		if second, _ := nextWord(rest); second == "TRANSACTION" {
			return Write
		}
	}
	return SessionState
}

func classifyCreate(rest string) Class {
	first, _ := nextWord(rest)
	if first == "TEMP" || first == "TEMPORARY" || first == "LOCAL" || first == "GLOBAL" {
		return SessionState
	}
	return Write
}

// ParseSetting parses SET trefoil.NAME = 'VALUE' or SHOW trefoil.NAME; show is true for SHOW.
func ParseSetting(text string) (name, value string, show bool) {
	text, _ = trimStatement(text)
	first, rest := nextWord(text)
	key, rest := nextWord(rest)
	name = strings.ToLower(strings.TrimPrefix(key, settingPrefix))
	if first == "SHOW" {
		return name, "", true
	}
	rest = strings.TrimSpace(rest)
	if after, ok := strings.CutPrefix(rest, "="); ok {
		rest = after
	} else if second, after := nextWord(rest); second == "TO" {
		rest = after
	}
	return name, strings.Trim(strings.TrimSpace(rest), "'"), false
}

// trimStatement strips leading comments and trailing semicolons; the result reports whether the
// text may hold more than one statement.
func trimStatement(text string) (string, bool) {
	text = skipSpace(text)
	text = strings.TrimRight(text, "; \t\r\n")
	return text, strings.Contains(text, ";")
}

// skipSpace strips leading white space, comments and opening parentheses.
func skipSpace(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n(")
		switch {
		case strings.HasPrefix(text, "--"):
			// As in PostgreSQL, the comment ends at a carriage return as well.
			end := strings.IndexAny(text, "\r\n")
			if end < 0 {
				return ""
			}
			text = text[end:]
		case strings.HasPrefix(text, "/*"):
			_, after, found := strings.Cut(text, "*/")
			if !found {
				return ""
			}
			text = after
		default:
			return text
		}
	}
}

// nextWord returns the first word of text in upper case, and the remaining text.
func nextWord(text string) (string, string) {
	text = skipSpace(text)
	end := strings.IndexFunc(text, func(r rune) bool {
		return !isWordRune(r)
	})
	if end < 0 {
		end = len(text)
	}
	return strings.ToUpper(text[:end]), text[end:]
}

func isWordRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' || r == '.'
}

// MayCommit reports whether text may end a transaction; false positives are possible.
func MayCommit(text string) bool {
	upper := strings.ToUpper(text)
	return strings.Contains(upper, "COMMIT") || strings.Contains(upper, "END") || strings.Contains(upper, "PREPARE")
}
