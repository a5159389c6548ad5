package backend

import (
	"strconv"
	"strings"
	"time"

	"trefoilcourse/coord/session"
	"trefoilcourse/coord/watch"
	"trefoilcourse/wire/lsn"
)

// Poll queries the primary for its position, then for those of its replicas.
func (c *Conn) Poll(deadline time.Time) (watch.Report, error) {
	c.SetDeadline(deadline)
	defer c.SetDeadline(time.Time{})
	report := watch.Report{PolledAt: time.Now()}
	rows, err := c.query(primaryQuery + "; " + replicaQuery)
	if err != nil {
		return report, err
	}
	if len(rows) == 0 || len(rows[0]) != 4 {
		return report, errUnexpectedReply
	}
	report.IsPrimary = rows[0][0] == "f"
	term, err := strconv.ParseUint(rows[0][1], 10, 64)
	if err != nil {
		return report, err
	}
	termStart, err := lsn.Parse(rows[0][2])
	if err != nil {
		return report, err
	}
	end, err := lsn.Parse(rows[0][3])
	if err != nil {
		return report, err
	}
	report.Position = session.Position{Term: term, Offset: end}
	for _, row := range rows[1:] {
		r, err := parseReplica(row, term, termStart)
		if err != nil {
			return report, err
		}
		report.Replicas = append(report.Replicas, r)
	}
	return report, nil
}

// parseReplica decodes one row of replicaQuery. A replica that has not replayed up to the start of
// the primary's term gets term 0, which is a safe lower bound.
func parseReplica(row []string, term, termStart uint64) (watch.Replica, error) {
	if len(row) != 3 {
		return watch.Replica{}, errUnexpectedReply
	}
	slot, incarnation, _ := strings.Cut(row[0], "@")
	flushed, err := lsn.Parse(row[1])
	if err != nil {
		return watch.Replica{}, err
	}
	replayed, err := lsn.Parse(row[2])
	if err != nil {
		return watch.Replica{}, err
	}
	r := watch.Replica{Slot: slot, Incarnation: incarnation, Flushed: flushed}
	r.Replayed.Offset = replayed
	if replayed >= termStart {
		r.Replayed.Term = term
	}
	return r, nil
}
