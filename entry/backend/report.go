package backend

import (
	"strconv"
	"strings"
	"time"

	"trefoilcourse/coord/session"
	"trefoilcourse/coord/watch"
	"trefoilcourse/wire/lsn"
)

// Poll asks the primary for its position and those of its replicas, in this order.
func (c *Conn) Poll(deadline time.Time) (watch.Report, error) {
	c.SetDeadline(deadline)
	defer c.SetDeadline(time.Time{})
	report := watch.Report{Asked: time.Now()}
	rows, err := c.query(primaryQuery + "; " + replicaQuery)
	if err != nil {
		return report, err
	}
	if len(rows) == 0 || len(rows[0]) != 4 {
		return report, errUnexpected
	}
	report.Leads = rows[0][0] == "f"
	term, err := strconv.ParseUint(rows[0][1], 10, 64)
	if err != nil {
		return report, err
	}
	start, err := lsn.Parse(rows[0][2])
	if err != nil {
		return report, err
	}
	end, err := lsn.Parse(rows[0][3])
	if err != nil {
		return report, err
	}
	report.Position = session.Position{Term: term, Offset: end}
	for _, row := range rows[1:] {
		r, err := parseReplica(row, term, start)
		if err != nil {
			return report, err
		}
		report.Replicas = append(report.Replicas, r)
	}
	return report, nil
}

// parseReplica reads one row; a replica that has not replayed the start of the primary's term
// counts as being in no term, which is less than it may have.
func parseReplica(row []string, term, start uint64) (watch.Replica, error) {
	if len(row) != 3 {
		return watch.Replica{}, errUnexpected
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
	if replayed >= start {
		r.Replayed.Term = term
	}
	return r, nil
}
