package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/coord/statement"
	"trefoilcourse/entry/internal/frame"
)

// answerLocally answers a batch that concerns only the proxy: its settings, the names of prepared
// statements, or an empty query.
func (c *connection) answerLocally(batch []frame.Frame) {
	var answer []frame.Frame
	text := ""
	for _, f := range batch {
		var part []frame.Frame
		part, text = c.answerFrame(f, text)
		answer = append(answer, part...)
		if len(part) > 0 && part[len(part)-1].Type == frame.ErrorResponse {
			c.afterError(batch, answer)
			return
		}
	}
	_ = c.send(answer, true)
}

// answerFrame answers one frame; text is the statement bound last.
func (c *connection) answerFrame(f frame.Frame, text string) ([]frame.Frame, string) {
	switch f.Type {
	case frame.Query:
		text, _ = c.textOf(f)
		if statement.Classify(text) == statement.Empty {
			return []frame.Frame{frame.Encode(&pgproto3.EmptyQueryResponse{}), frame.Ready(frame.Idle)}, text
		}
		answer := c.answerSetting(text, true)
		if answer[len(answer)-1].Type == frame.ErrorResponse {
			return answer, text
		}
		return append(answer, frame.Ready(frame.Idle)), text
	case frame.Parse:
		var m pgproto3.Parse
		_ = m.Decode(f.Body)
		if m.Name != "" {
			c.storeStatement(m.Name, preparedStatement{parse: f, text: m.Query})
		}
		return []frame.Frame{frame.Encode(&pgproto3.ParseComplete{})}, m.Query
	case frame.Bind:
		if bound, ok := c.textOf(f); ok {
			text = bound
		}
		return []frame.Frame{frame.Encode(&pgproto3.BindComplete{})}, text
	case frame.Describe:
		return c.describeSetting(f, text), text
	case frame.Execute:
		return c.answerSetting(text, false), text
	case frame.Close:
		var m pgproto3.Close
		if m.Decode(f.Body) == nil && m.ObjectType == 'S' {
			c.deleteStatement(m.Name)
		}
		return []frame.Frame{frame.Encode(&pgproto3.CloseComplete{})}, text
	case frame.Sync:
		return []frame.Frame{frame.Ready(frame.Idle)}, text
	}
	return nil, text
}

func (c *connection) describeSetting(f frame.Frame, text string) []frame.Frame {
	if named, ok := c.textOf(f); ok {
		text = named
	}
	var m pgproto3.Describe
	if m.Decode(f.Body) == nil && m.ObjectType == 'S' {
		return []frame.Frame{frame.Encode(&pgproto3.ParameterDescription{}), settingColumns(text)}
	}
	return []frame.Frame{settingColumns(text)}
}

func (c *connection) storeStatement(name string, n preparedStatement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remember(name, n)
}

func (c *connection) deleteStatement(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(name)
}
