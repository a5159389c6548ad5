package standin

import (
	"context"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"trefoilcourse/wire/lsn"
)

const keyPrefix = "request-key:"

var (
	parameterPattern = regexp.MustCompile(`\$(\d+)`)
	insertPattern    = regexp.MustCompile(`(?is)^INSERT INTO ledger \(id, body\) VALUES \(([^,]+), (.+)\)$`)
	updatePattern    = regexp.MustCompile(`(?is)^UPDATE ledger SET body = (.+) WHERE id = (.+)$`)
	selectPattern    = regexp.MustCompile(`(?is)^SELECT body FROM ledger WHERE id = (.+)$`)
	keyPattern       = regexp.MustCompile(`(?is)^INSERT INTO trefoil_request_keys \(key\) VALUES \((.+)\) ON CONFLICT DO NOTHING$`)
	outcomePattern   = regexp.MustCompile(`(?is)^UPDATE trefoil_request_keys SET outcome = '(.*)' WHERE key = '(.+)'$`)
	firstPattern     = regexp.MustCompile(`(?is)^SELECT outcome FROM trefoil_request_keys WHERE key = '(.+)'$`)
	sleepPattern     = regexp.MustCompile(`(?is)^SELECT pg_sleep\(([0-9.]+)\)$`)
	promotePattern   = regexp.MustCompile(`(?is)^SELECT trefoil_promote\((\d+), '([^']*)'\)$`)
	followPattern    = regexp.MustCompile(`(?is)^SELECT trefoil_follow\((\d+), '([^']+)'\)$`)
	copyInPattern    = regexp.MustCompile(`(?is)^COPY ledger(?: \(id, body\))? FROM STDIN`)
	copyOutPattern   = regexp.MustCompile(`(?is)^COPY ledger TO STDOUT`)
	functionPattern  = regexp.MustCompile(`(?is)^SELECT ((?:[a-z_]+\((?:'[a-z_.]+')?\))(?:, [a-z_]+\((?:'[a-z_.]+')?\))*)$`)
	functionName     = regexp.MustCompile(`[a-z_]+\((?:'[a-z_.]+')?\)`)
)

func countParameters(query string) int {
	most := 0
	for _, m := range parameterPattern.FindAllStringSubmatch(query, -1) {
		n, _ := strconv.Atoi(m[1])
		most = max(most, n)
	}
	return most
}

func textFields(names ...string) []pgproto3.FieldDescription {
	fields := make([]pgproto3.FieldDescription, len(names))
	for i, name := range names {
		fields[i] = pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	}
	return fields
}

// describeQuery returns the columns of a query's result; nil means that it has none.
func describeQuery(query string) []pgproto3.FieldDescription {
	query = clean(query)
	switch {
	case selectPattern.MatchString(query):
		return textFields("body")
	case strings.EqualFold(query, "SELECT id, body FROM ledger"):
		return textFields("id", "body")
	case strings.EqualFold(query, "SELECT count(*) FROM ledger"):
		return textFields("count")
	case strings.HasPrefix(query, "SELECT application_name"):
		return textFields("application_name", "flush_lsn", "replay_lsn")
	case functionPattern.MatchString(query):
		return textFields(functionName.FindAllString(query, -1)...)
	case strings.HasPrefix(strings.ToUpper(query), "SELECT"), strings.HasPrefix(strings.ToUpper(query), "SHOW"):
		return textFields("?column?")
	}
	return nil
}

func clean(query string) string {
	query = strings.TrimSpace(strings.TrimRight(strings.TrimSpace(query), ";"))
	if rest, ok := strings.CutPrefix(query, "/*"); ok {
		if _, after, found := strings.Cut(rest, "*/"); found {
			return clean(after)
		}
	}
	return query
}

// simple runs the statements of a simple query.
func (c *session) simple(ctx context.Context, text string) {
	parts := strings.Split(text, ";")
	ran := false
	for _, part := range parts {
		query := clean(part)
		if query == "" {
			continue
		}
		ran = true
		if !c.execute(ctx, query, nil, true) {
			return
		}
	}
	if !ran {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
}

// value resolves a parameter or a quoted literal.
func value(token string, args []string) string {
	token = strings.TrimSpace(token)
	if m := parameterPattern.FindStringSubmatch(token); m != nil {
		n, _ := strconv.Atoi(m[1])
		if n >= 1 && n <= len(args) {
			return args[n-1]
		}
		return ""
	}
	return strings.Trim(token, "'")
}

// execute runs one statement, with a row description if the simple protocol asks for one, and
// reports whether it succeeded.
func (c *session) execute(ctx context.Context, query string, args []string, describe bool) bool {
	query = clean(query)
	upper := strings.ToUpper(query)
	if c.failed && upper != "ROLLBACK" && upper != "COMMIT" {
		return c.fail("25P02", "current transaction is aborted, commands ignored until end of transaction block")
	}
	if done, ok := c.transaction(upper); done {
		return ok
	}
	if c.internal(query, describe) {
		return true
	}
	pause(ctx, c.server.group.StatementDelay)
	return c.statement(ctx, query, upper, args, describe)
}

// transaction runs BEGIN, COMMIT and ROLLBACK.
func (c *session) transaction(upper string) (done, ok bool) {
	switch {
	case strings.HasPrefix(upper, "BEGIN"), strings.HasPrefix(upper, "START TRANSACTION"):
		c.inTransaction = true
		c.readOnly = strings.Contains(upper, "READ ONLY")
		c.complete("BEGIN")
	case upper == "COMMIT" || upper == "END":
		aborted := c.failed
		ok := c.end(!aborted)
		if !ok {
			return true, c.fail("57P01", "the server no longer leads")
		}
		if aborted {
			c.complete("ROLLBACK")
			return true, true
		}
		c.complete("COMMIT")
	case upper == "ROLLBACK":
		c.end(false)
		c.complete("ROLLBACK")
	case strings.HasPrefix(upper, "SET DEFAULT_TRANSACTION_READ_ONLY TO "):
		c.defaultReadOnly = strings.HasSuffix(upper, " ON")
		c.complete("SET")
	case strings.HasPrefix(upper, "SET ") || upper == "DISCARD ALL":
		c.complete("SET")
	default:
		return false, false
	}
	return true, true
}

// end ends a transaction and reports whether its writes, if any, were committed as asked.
func (c *session) end(commit bool) bool {
	writes, keys := c.writes, c.keys
	c.inTransaction, c.failed, c.readOnly, c.writes, c.keys = false, false, false, nil, nil
	if !commit || len(writes) == 0 {
		return true
	}
	h := c.server.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.primary {
		return false
	}
	for _, key := range keys {
		if _, taken := h.rows[key]; taken {
			return false
		}
	}
	h.append(record{term: h.term, writes: writes})
	commitRecord := Commit{Slot: c.server.slot.Name, Term: h.term, CommittedAt: time.Now()}
	for _, w := range writes {
		if !strings.HasPrefix(w.id, keyPrefix) {
			commitRecord.Writes = append(commitRecord.Writes, Write{w.id, w.body})
		}
	}
	c.server.group.log.committed(commitRecord)
	return true
}

func (c *session) complete(tag string) {
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (c *session) row(values ...string) {
	row := &pgproto3.DataRow{Values: make([][]byte, len(values))}
	for i, v := range values {
		row.Values[i] = []byte(v)
	}
	c.backend.Send(row)
}

func (c *session) rows(describe bool, fields []pgproto3.FieldDescription, rows [][]string) bool {
	if describe {
		c.backend.Send(&pgproto3.RowDescription{Fields: fields})
	}
	for _, r := range rows {
		c.row(r...)
	}
	c.complete(fmt.Sprintf("SELECT %d", len(rows)))
	return true
}

// internal runs the queries and orders of the proxy itself.
func (c *session) internal(query string, describe bool) bool {
	switch {
	case strings.HasPrefix(query, "SELECT application_name"):
		return c.rows(describe, describeQuery(query), c.followers(strings.Contains(query, "replay_lsn")))
	case functionPattern.MatchString(query):
		var values []string
		for _, call := range functionName.FindAllString(query, -1) {
			values = append(values, c.function(call))
		}
		return c.rows(describe, describeQuery(query), [][]string{values})
	}
	if m := promotePattern.FindStringSubmatch(query); m != nil {
		term, _ := strconv.ParseUint(m[1], 10, 64)
		return c.rows(describe, textFields("ok"), [][]string{{fmt.Sprint(c.server.history.promote(term, m[2]))}})
	}
	if m := followPattern.FindStringSubmatch(query); m != nil {
		term, _ := strconv.ParseUint(m[1], 10, 64)
		return c.rows(describe, textFields("ok"), [][]string{{fmt.Sprint(c.server.follow(term, m[2]))}})
	}
	return false
}

func (c *session) followers(replayed bool) [][]string {
	var rows [][]string
	c.server.followers.Range(func(slot, value any) bool {
		f := value.(follower)
		row := []string{slot.(string) + "@" + f.incarnation, lsn.Format(f.flushed)}
		if replayed {
			row = append(row, lsn.Format(f.replayed))
		}
		rows = append(rows, row)
		return true
	})
	return rows
}

func (c *session) function(call string) string {
	h := c.server.history
	h.mu.Lock()
	defer h.mu.Unlock()
	endTerm, end := h.end()
	replayTerm, replayed := h.replayEnd()
	switch call {
	case "pg_is_in_recovery()":
		if h.primary {
			return "f"
		}
		return "t"
	case "pg_current_wal_insert_lsn()", "pg_last_wal_receive_lsn()":
		return lsn.Format(end)
	case "pg_last_wal_replay_lsn()":
		return lsn.Format(replayed)
	case "current_setting('trefoil.term')":
		return fmt.Sprint(h.term)
	case "current_setting('trefoil.log_term')":
		return fmt.Sprint(endTerm)
	case "current_setting('trefoil.replay_term')":
		return fmt.Sprint(replayTerm)
	case "current_setting('trefoil.term_start')":
		return lsn.Format(h.termStart)
	case "current_setting('trefoil.incarnation')":
		return h.incarnation
	case "pg_backend_pid()":
		return fmt.Sprint(c.id)
	}
	return ""
}

// statement runs a caller's statement.
func (c *session) statement(ctx context.Context, query, upper string, args []string, describe bool) bool {
	c.server.group.log.worked(c.server.slot.Name, strings.HasPrefix(upper, "SELECT"))
	switch {
	case insertPattern.MatchString(query):
		m := insertPattern.FindStringSubmatch(query)
		return c.write(value(m[1], args), value(m[2], args), true, "INSERT 0 1")
	case keyPattern.MatchString(query):
		key := keyPrefix + value(keyPattern.FindStringSubmatch(query)[1], args)
		if c.lookup(key) != nil {
			c.complete("INSERT 0 0")
			return true
		}
		c.keys = append(c.keys, key)
		return c.write(key, "", true, "INSERT 0 1")
	case outcomePattern.MatchString(query):
		m := outcomePattern.FindStringSubmatch(query)
		return c.write(keyPrefix+m[2], m[1], false, "UPDATE 1")
	case firstPattern.MatchString(query):
		var rows [][]string
		if outcome := c.lookup(keyPrefix + firstPattern.FindStringSubmatch(query)[1]); outcome != nil {
			rows = append(rows, []string{*outcome})
		}
		return c.rows(describe, textFields("outcome"), rows)
	case updatePattern.MatchString(query):
		m := updatePattern.FindStringSubmatch(query)
		id := value(m[2], args)
		if c.lookup(id) == nil {
			c.complete("UPDATE 0")
			return true
		}
		return c.write(id, value(m[1], args), false, "UPDATE 1")
	case selectPattern.MatchString(query):
		id := value(selectPattern.FindStringSubmatch(query)[1], args)
		var rows [][]string
		if body := c.lookup(id); body != nil {
			rows = append(rows, []string{*body})
		}
		return c.rows(describe, textFields("body"), rows)
	case strings.EqualFold(query, "SELECT id, body FROM ledger"):
		return c.rows(describe, textFields("id", "body"), c.table())
	case strings.EqualFold(query, "SELECT count(*) FROM ledger"):
		return c.rows(describe, textFields("count"), [][]string{{fmt.Sprint(len(c.table()))}})
	case sleepPattern.MatchString(query):
		seconds, _ := strconv.ParseFloat(sleepPattern.FindStringSubmatch(query)[1], 64)
		select {
		case <-c.canceled:
			return c.fail("57014", "canceling statement due to user request")
		case <-ctx.Done():
		case <-time.After(time.Duration(seconds * float64(time.Second))):
		}
		return c.rows(describe, textFields("pg_sleep"), [][]string{{""}})
	case copyInPattern.MatchString(query):
		return c.copyRows()
	case copyOutPattern.MatchString(query):
		return c.copyOut()
	case upper == "SELECT 1":
		return c.rows(describe, textFields("?column?"), [][]string{{"1"}})
	}
	return c.fail("42601", fmt.Sprintf("the stand-in does not know the statement %q", query))
}

func (c *session) lookup(id string) *string {
	for i := len(c.writes) - 1; i >= 0; i-- {
		if c.writes[i].id == id {
			return &c.writes[i].body
		}
	}
	h := c.server.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if body, ok := h.rows[id]; ok {
		return &body
	}
	return nil
}

func (c *session) table() [][]string {
	h := c.server.history
	h.mu.Lock()
	defer h.mu.Unlock()
	var rows [][]string
	for _, id := range slices.Sorted(maps.Keys(h.rows)) {
		if !strings.HasPrefix(id, keyPrefix) {
			rows = append(rows, []string{id, h.rows[id]})
		}
	}
	return rows
}

func (c *session) write(id, body string, fresh bool, tag string) bool {
	if _, primary := c.server.Role(); !primary || c.readOnly || c.defaultReadOnly {
		return c.fail("25006", "cannot execute a write in a read-only transaction")
	}
	if fresh && c.lookup(id) != nil {
		return c.fail("23505", fmt.Sprintf("duplicate key value %q violates unique constraint", id))
	}
	c.writes = append(c.writes, write{id, body})
	if !c.inTransaction && !c.end(true) {
		return c.fail("57P01", "the server no longer leads")
	}
	c.complete(tag)
	return true
}

func (c *session) copyRows() bool {
	if _, primary := c.server.Role(); !primary {
		return c.fail("25006", "cannot execute COPY FROM in a read-only transaction")
	}
	data, ok := c.copyIn()
	if !ok {
		return false
	}
	count := 0
	for line := range strings.Lines(string(data)) {
		id, body, _ := strings.Cut(strings.TrimRight(line, "\n"), "\t")
		if id != `\.` && id != "" {
			c.writes = append(c.writes, write{id, body})
			count++
		}
	}
	if !c.inTransaction && !c.end(true) {
		return c.fail("57P01", "the server no longer leads")
	}
	c.complete(fmt.Sprintf("COPY %d", count))
	return true
}

func (c *session) copyOut() bool {
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
	rows := c.table()
	for _, r := range rows {
		c.backend.Send(&pgproto3.CopyData{Data: []byte(r[0] + "\t" + r[1] + "\n")})
	}
	c.backend.Send(&pgproto3.CopyDone{})
	c.complete(fmt.Sprintf("COPY %d", len(rows)))
	return true
}
