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

const requestKeyPrefix = "request-key:"

var (
	parameterPattern        = regexp.MustCompile(`\$(\d+)`)
	insertPattern           = regexp.MustCompile(`(?is)^INSERT INTO ledger \(id, body\) VALUES \(([^,]+), (.+)\)$`)
	updatePattern           = regexp.MustCompile(`(?is)^UPDATE ledger SET body = (.+) WHERE id = (.+)$`)
	selectPattern           = regexp.MustCompile(`(?is)^SELECT body FROM ledger WHERE id = (.+)$`)
	insertRequestKeyPattern = regexp.MustCompile(`(?is)^INSERT INTO trefoil_request_keys \(key\) VALUES \((.+)\) ON CONFLICT DO NOTHING$`)
	updateOutcomePattern    = regexp.MustCompile(`(?is)^UPDATE trefoil_request_keys SET outcome = '(.*)' WHERE key = '(.+)'$`)
	selectOutcomePattern    = regexp.MustCompile(`(?is)^SELECT outcome FROM trefoil_request_keys WHERE key = '(.+)'$`)
	sleepPattern            = regexp.MustCompile(`(?is)^SELECT pg_sleep\(([0-9.]+)\)$`)
	promotePattern          = regexp.MustCompile(`(?is)^SELECT trefoil_promote\((\d+), '([^']*)'\)$`)
	followPattern           = regexp.MustCompile(`(?is)^SELECT trefoil_follow\((\d+), '([^']+)'\)$`)
	copyInPattern           = regexp.MustCompile(`(?is)^COPY ledger(?: \(id, body\))? FROM STDIN`)
	copyOutPattern          = regexp.MustCompile(`(?is)^COPY ledger TO STDOUT`)
	functionCallsPattern    = regexp.MustCompile(`(?is)^SELECT ((?:[a-z_]+\((?:'[a-z_.]+')?\))(?:, [a-z_]+\((?:'[a-z_.]+')?\))*)$`)
	functionCallPattern     = regexp.MustCompile(`[a-z_]+\((?:'[a-z_.]+')?\)`)
)

func countParameters(query string) int {
	highest := 0
	for _, m := range parameterPattern.FindAllStringSubmatch(query, -1) {
		n, _ := strconv.Atoi(m[1])
		highest = max(highest, n)
	}
	return highest
}

func textFields(names ...string) []pgproto3.FieldDescription {
	fields := make([]pgproto3.FieldDescription, len(names))
	for i, name := range names {
		fields[i] = pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	}
	return fields
}

// describeQuery returns the result columns of a query, or nil if it returns no rows.
func describeQuery(query string) []pgproto3.FieldDescription {
	query = trimQuery(query)
	switch {
	case selectPattern.MatchString(query):
		return textFields("body")
	case strings.EqualFold(query, "SELECT id, body FROM ledger"):
		return textFields("id", "body")
	case strings.EqualFold(query, "SELECT count(*) FROM ledger"):
		return textFields("count")
	case strings.HasPrefix(query, "SELECT application_name"):
		return textFields("application_name", "flush_lsn", "replay_lsn")
	case functionCallsPattern.MatchString(query):
		return textFields(functionCallPattern.FindAllString(query, -1)...)
	case strings.HasPrefix(strings.ToUpper(query), "SELECT"), strings.HasPrefix(strings.ToUpper(query), "SHOW"):
		return textFields("?column?")
	}
	return nil
}

func trimQuery(query string) string {
	query = strings.TrimSpace(strings.TrimRight(strings.TrimSpace(query), ";"))
	if rest, ok := strings.CutPrefix(query, "/*"); ok {
		if _, after, found := strings.Cut(rest, "*/"); found {
			return trimQuery(after)
		}
	}
	return query
}

// simpleQuery runs the statements of a query of the simple protocol.
func (c *session) simpleQuery(ctx context.Context, text string) {
	statements := strings.Split(text, ";")
	executed := false
	for _, statement := range statements {
		query := trimQuery(statement)
		if query == "" {
			continue
		}
		executed = true
		if !c.execute(ctx, query, nil, true) {
			return
		}
	}
	if !executed {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
}

// resolveValue resolves a parameter or a quoted literal.
func resolveValue(token string, args []string) string {
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

// execute runs one statement and reports whether it succeeded; describe sends a row description
// first, as the simple protocol requires.
func (c *session) execute(ctx context.Context, query string, args []string, describe bool) bool {
	query = trimQuery(query)
	upper := strings.ToUpper(query)
	if c.transactionFailed && upper != "ROLLBACK" && upper != "COMMIT" {
		return c.sendError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
	}
	if done, ok := c.transactionCommand(upper); done {
		return ok
	}
	if c.proxyQuery(query, describe) {
		return true
	}
	sleep(ctx, c.server.group.StatementDelay)
	return c.callerStatement(ctx, query, upper, args, describe)
}

// transactionCommand runs BEGIN, COMMIT, ROLLBACK and SET; done is false for other statements.
func (c *session) transactionCommand(upper string) (done, ok bool) {
	switch {
	case strings.HasPrefix(upper, "BEGIN"), strings.HasPrefix(upper, "START TRANSACTION"):
		c.inTransaction = true
		c.readOnly = strings.Contains(upper, "READ ONLY")
		c.sendCommandComplete("BEGIN")
	case upper == "COMMIT" || upper == "END":
		aborted := c.transactionFailed
		ok := c.endTransaction(!aborted)
		if !ok {
			return true, c.sendError("57P01", "the server no longer leads")
		}
		if aborted {
			c.sendCommandComplete("ROLLBACK")
			return true, true
		}
		c.sendCommandComplete("COMMIT")
	case upper == "ROLLBACK":
		c.endTransaction(false)
		c.sendCommandComplete("ROLLBACK")
	case strings.HasPrefix(upper, "SET DEFAULT_TRANSACTION_READ_ONLY TO "):
		c.defaultReadOnly = strings.HasSuffix(upper, " ON")
		c.sendCommandComplete("SET")
	case strings.HasPrefix(upper, "SET ") || upper == "DISCARD ALL":
		c.sendCommandComplete("SET")
	default:
		return false, false
	}
	return true, true
}

// endTransaction ends a transaction and reports whether a requested commit of its writes succeeded.
func (c *session) endTransaction(commit bool) bool {
	writes, keys := c.pendingWrites, c.requestKeys
	c.inTransaction, c.transactionFailed, c.readOnly, c.pendingWrites, c.requestKeys = false, false, false, nil, nil
	if !commit || len(writes) == 0 {
		return true
	}
	st := c.server.storage
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.primary {
		return false
	}
	for _, key := range keys {
		if _, taken := st.rows[key]; taken {
			return false
		}
	}
	st.appendRecord(record{term: st.term, writes: writes})
	committed := Commit{Slot: c.server.slot.Name, Term: st.term, CommittedAt: time.Now()}
	for _, w := range writes {
		if !strings.HasPrefix(w.id, requestKeyPrefix) {
			committed.Writes = append(committed.Writes, Write{w.id, w.body})
		}
	}
	c.server.group.activity.recordCommit(committed)
	return true
}

func (c *session) sendCommandComplete(tag string) {
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (c *session) sendDataRow(values ...string) {
	row := &pgproto3.DataRow{Values: make([][]byte, len(values))}
	for i, v := range values {
		row.Values[i] = []byte(v)
	}
	c.backend.Send(row)
}

func (c *session) sendRows(describe bool, fields []pgproto3.FieldDescription, rows [][]string) bool {
	if describe {
		c.backend.Send(&pgproto3.RowDescription{Fields: fields})
	}
	for _, r := range rows {
		c.sendDataRow(r...)
	}
	c.sendCommandComplete(fmt.Sprintf("SELECT %d", len(rows)))
	return true
}

// proxyQuery runs the proxy's own status queries and role changes; it reports whether query is one.
func (c *session) proxyQuery(query string, describe bool) bool {
	switch {
	case strings.HasPrefix(query, "SELECT application_name"):
		return c.sendRows(describe, describeQuery(query), c.replicationRows(strings.Contains(query, "replay_lsn")))
	case functionCallsPattern.MatchString(query):
		var values []string
		for _, call := range functionCallPattern.FindAllString(query, -1) {
			values = append(values, c.callFunction(call))
		}
		return c.sendRows(describe, describeQuery(query), [][]string{values})
	}
	if m := promotePattern.FindStringSubmatch(query); m != nil {
		term, _ := strconv.ParseUint(m[1], 10, 64)
		return c.sendRows(describe, textFields("ok"), [][]string{{fmt.Sprint(c.server.storage.promoteIncarnation(term, m[2]))}})
	}
	if m := followPattern.FindStringSubmatch(query); m != nil {
		term, _ := strconv.ParseUint(m[1], 10, 64)
		return c.sendRows(describe, textFields("ok"), [][]string{{fmt.Sprint(c.server.follow(term, m[2]))}})
	}
	return false
}

func (c *session) replicationRows(withReplay bool) [][]string {
	var rows [][]string
	c.server.replicaStatuses.Range(func(slot, value any) bool {
		status := value.(replicaStatus)
		row := []string{slot.(string) + "@" + status.incarnation, lsn.Format(status.flushOffset)}
		if withReplay {
			row = append(row, lsn.Format(status.replayOffset))
		}
		rows = append(rows, row)
		return true
	})
	return rows
}

func (c *session) callFunction(call string) string {
	st := c.server.storage
	st.mu.Lock()
	defer st.mu.Unlock()
	endTerm, end := st.logEnd()
	replayTerm, replayed := st.replayEnd()
	switch call {
	case "pg_is_in_recovery()":
		if st.primary {
			return "f"
		}
		return "t"
	case "pg_current_wal_insert_lsn()", "pg_last_wal_receive_lsn()":
		return lsn.Format(end)
	case "pg_last_wal_replay_lsn()":
		return lsn.Format(replayed)
	case "current_setting('trefoil.term')":
		return fmt.Sprint(st.term)
	case "current_setting('trefoil.log_term')":
		return fmt.Sprint(endTerm)
	case "current_setting('trefoil.replay_term')":
		return fmt.Sprint(replayTerm)
	case "current_setting('trefoil.term_start')":
		return lsn.Format(st.termStart)
	case "current_setting('trefoil.incarnation')":
		return st.incarnation
	case "pg_backend_pid()":
		return fmt.Sprint(c.id)
	}
	return ""
}

// callerStatement runs a statement that a caller sent and reports whether it succeeded.
func (c *session) callerStatement(ctx context.Context, query, upper string, args []string, describe bool) bool {
	c.server.group.activity.recordStatement(c.server.slot.Name, strings.HasPrefix(upper, "SELECT"))
	switch {
	case insertPattern.MatchString(query):
		m := insertPattern.FindStringSubmatch(query)
		return c.write(resolveValue(m[1], args), resolveValue(m[2], args), true, "INSERT 0 1")
	case insertRequestKeyPattern.MatchString(query):
		key := requestKeyPrefix + resolveValue(insertRequestKeyPattern.FindStringSubmatch(query)[1], args)
		if c.lookup(key) != nil {
			c.sendCommandComplete("INSERT 0 0")
			return true
		}
		c.requestKeys = append(c.requestKeys, key)
		return c.write(key, "", true, "INSERT 0 1")
	case updateOutcomePattern.MatchString(query):
		m := updateOutcomePattern.FindStringSubmatch(query)
		return c.write(requestKeyPrefix+m[2], m[1], false, "UPDATE 1")
	case selectOutcomePattern.MatchString(query):
		var rows [][]string
		if outcome := c.lookup(requestKeyPrefix + selectOutcomePattern.FindStringSubmatch(query)[1]); outcome != nil {
			rows = append(rows, []string{*outcome})
		}
		return c.sendRows(describe, textFields("outcome"), rows)
	case updatePattern.MatchString(query):
		m := updatePattern.FindStringSubmatch(query)
		id := resolveValue(m[2], args)
		if c.lookup(id) == nil {
			c.sendCommandComplete("UPDATE 0")
			return true
		}
		return c.write(id, resolveValue(m[1], args), false, "UPDATE 1")
	case selectPattern.MatchString(query):
		id := resolveValue(selectPattern.FindStringSubmatch(query)[1], args)
		var rows [][]string
		if body := c.lookup(id); body != nil {
			rows = append(rows, []string{*body})
		}
		return c.sendRows(describe, textFields("body"), rows)
	case strings.EqualFold(query, "SELECT id, body FROM ledger"):
		return c.sendRows(describe, textFields("id", "body"), c.ledgerRows())
	case strings.EqualFold(query, "SELECT count(*) FROM ledger"):
		return c.sendRows(describe, textFields("count"), [][]string{{fmt.Sprint(len(c.ledgerRows()))}})
	case sleepPattern.MatchString(query):
		seconds, _ := strconv.ParseFloat(sleepPattern.FindStringSubmatch(query)[1], 64)
		select {
		case <-c.canceled:
			return c.sendError("57014", "canceling statement due to user request")
		case <-ctx.Done():
		case <-time.After(time.Duration(seconds * float64(time.Second))):
		}
		return c.sendRows(describe, textFields("pg_sleep"), [][]string{{""}})
	case copyInPattern.MatchString(query):
		return c.copyIn()
	case copyOutPattern.MatchString(query):
		return c.copyOut()
	case upper == "SELECT 1":
		return c.sendRows(describe, textFields("?column?"), [][]string{{"1"}})
	}
	return c.sendError("42601", fmt.Sprintf("the stand-in does not know the statement %q", query))
}

func (c *session) lookup(id string) *string {
	for i := len(c.pendingWrites) - 1; i >= 0; i-- {
		if c.pendingWrites[i].id == id {
			return &c.pendingWrites[i].body
		}
	}
	st := c.server.storage
	st.mu.Lock()
	defer st.mu.Unlock()
	if body, ok := st.rows[id]; ok {
		return &body
	}
	return nil
}

func (c *session) ledgerRows() [][]string {
	st := c.server.storage
	st.mu.Lock()
	defer st.mu.Unlock()
	var rows [][]string
	for _, id := range slices.Sorted(maps.Keys(st.rows)) {
		if !strings.HasPrefix(id, requestKeyPrefix) {
			rows = append(rows, []string{id, st.rows[id]})
		}
	}
	return rows
}

func (c *session) write(id, body string, insert bool, tag string) bool {
	if _, primary := c.server.Role(); !primary || c.readOnly || c.defaultReadOnly {
		return c.sendError("25006", "cannot execute a write in a read-only transaction")
	}
	if insert && c.lookup(id) != nil {
		return c.sendError("23505", fmt.Sprintf("duplicate key value %q violates unique constraint", id))
	}
	c.pendingWrites = append(c.pendingWrites, write{id, body})
	if !c.inTransaction && !c.endTransaction(true) {
		return c.sendError("57P01", "the server no longer leads")
	}
	c.sendCommandComplete(tag)
	return true
}

func (c *session) copyIn() bool {
	if _, primary := c.server.Role(); !primary {
		return c.sendError("25006", "cannot execute COPY FROM in a read-only transaction")
	}
	data, ok := c.receiveCopyData()
	if !ok {
		return false
	}
	count := 0
	for line := range strings.Lines(string(data)) {
		id, body, _ := strings.Cut(strings.TrimRight(line, "\n"), "\t")
		if id != `\.` && id != "" {
			c.pendingWrites = append(c.pendingWrites, write{id, body})
			count++
		}
	}
	if !c.inTransaction && !c.endTransaction(true) {
		return c.sendError("57P01", "the server no longer leads")
	}
	c.sendCommandComplete(fmt.Sprintf("COPY %d", count))
	return true
}

func (c *session) copyOut() bool {
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
	rows := c.ledgerRows()
	for _, r := range rows {
		c.backend.Send(&pgproto3.CopyData{Data: []byte(r[0] + "\t" + r[1] + "\n")})
	}
	c.backend.Send(&pgproto3.CopyDone{})
	c.sendCommandComplete(fmt.Sprintf("COPY %d", len(rows)))
	return true
}
