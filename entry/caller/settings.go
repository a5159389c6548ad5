package caller

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/coord/session"
	"trefoilcourse/coord/statement"
	"trefoilcourse/entry/internal/frame"
	"trefoilcourse/entry/internal/outcome"
)

// The proxy's own settings, which callers set with SET or as startup parameters.
const (
	settingPrefix    = "trefoil."
	settingFloor     = "trefoil.floor"
	settingStaleness = "trefoil.staleness"
	settingDeadline  = "trefoil.deadline"
)

const (
	textOID     = 25
	maxDeadline = 10 * time.Minute
)

var requestKeyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

func badSetting(format string, args ...any) *outcome.Refusal {
	return outcome.NotRun(outcome.BadSetting, fmt.Sprintf(format, args...), "See docs/OPERATIONS.md for the settings of the proxy.")
}

// applySetting changes one of the proxy's settings for this session.
func (c *connection) applySetting(name, value string) *outcome.Refusal {
	switch name {
	case "floor":
		p, err := session.ParsePosition(value)
		if err != nil {
			return badSetting("%v", err)
		}
		c.mu.Lock()
		c.floor = c.floor.Max(p)
		c.floorKnown = true
		c.mu.Unlock()
		c.server.Metrics.FloorsByToken.Add(1)
		return nil
	case "staleness":
		return setMilliseconds(name, value, &c.staleness)
	case "deadline":
		return setMilliseconds(name, value, &c.deadline)
	case "request_key":
		if value != "" && !requestKeyPattern.MatchString(value) {
			return badSetting("request key %q is not 1 to 128 letters, digits, dots, colons, hyphens and underscores", value)
		}
		c.requestKey = value
		return nil
	}
	return badSetting("setting %q does not exist", settingPrefix+name)
}

func setMilliseconds(name, value string, target *time.Duration) *outcome.Refusal {
	n, err := strconv.Atoi(value)
	if err != nil || n < 1 || time.Duration(n)*time.Millisecond > maxDeadline {
		return badSetting("%s%s %q is not a number of milliseconds from 1 to %d", settingPrefix, name, value, maxDeadline.Milliseconds())
	}
	*target = time.Duration(n) * time.Millisecond
	return nil
}

// show returns a setting's value.
func (c *connection) show(name string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch name {
	case "floor":
		return floorToken(c.floor), true
	case "staleness":
		return fmt.Sprint(c.staleness.Milliseconds()), true
	case "deadline":
		return fmt.Sprint(c.deadline.Milliseconds()), true
	case "request_key":
		return c.requestKey, true
	case "vm":
		return c.server.VM, true
	case "configuration":
		return fmt.Sprint(c.server.View.Version()), true
	}
	return "", false
}

// answerSetting executes a SET or SHOW of the proxy's settings and returns the answer's frames.
func (c *connection) answerSetting(text string, describe bool) []frame.Frame {
	name, value, show := statement.ParseSetting(text)
	if !show {
		if refusal := c.applySetting(name, value); refusal != nil {
			return []frame.Frame{refusal.Frame()}
		}
		return []frame.Frame{frame.Encode(&pgproto3.CommandComplete{CommandTag: []byte("SET")})}
	}
	shown, ok := c.show(name)
	if !ok {
		return []frame.Frame{badSetting("setting %q does not exist", settingPrefix+name).Frame()}
	}
	var frames []frame.Frame
	if describe {
		frames = append(frames, settingColumns(text))
	}
	return append(frames,
		frame.Encode(&pgproto3.DataRow{Values: [][]byte{[]byte(shown)}}),
		frame.Encode(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")}))
}

// settingColumns returns the row description for a SET or SHOW of the proxy's settings.
func settingColumns(text string) frame.Frame {
	name, _, show := statement.ParseSetting(text)
	if !show {
		return frame.Encode(&pgproto3.NoData{})
	}
	return frame.Encode(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(settingPrefix + name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}})
}
