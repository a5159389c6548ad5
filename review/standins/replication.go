package main

import (
	"fmt"
	"time"
)

// commit is one committed change.
type commit struct {
	term, number uint64
	// ids are those of the writes, changes their items and data.
	ids     []string
	changes [][2]string
}

// position is what a primary has committed or a replica has applied; the group's mutex is held.
func (d *database) position() string { return positionAt(d.log, d.applied) }

func positionAt(log []commit, length int) string {
	if length == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", log[length-1].term, log[length-1].number)
}

// commit appends a commit to the primary's log and waits until enough replicas have received it. The
// group's mutex is held, and released while it waits.
func (d *database) commit(c *commit) bool {
	next := *c
	*c = commit{}
	next.term, next.number = d.term, uint64(len(d.log)+1)
	d.log = append(d.log[:len(d.log):len(d.log)], next)
	d.applyUpTo(len(d.log))
	position := len(d.log)
	d.group.rec.add("%s commits %v at %d.%d", d.id, next.ids, next.term, next.number)
	if d.term < d.group.highestTerm {
		for _, id := range next.ids {
			d.group.stale[id] = d.id
		}
	}
	d.group.replicate()
	for d.alive && d.received(position, next) < d.group.sync {
		d.group.changed.Wait()
	}
	return d.alive
}

// received counts the replicas whose logs have a commit; the group's mutex is held.
func (d *database) received(position int, c commit) int {
	count := 0
	for _, r := range d.group.servers {
		if r != d && len(r.log) >= position && r.log[position-1].term == c.term {
			count++
		}
	}
	return count
}

// replicate sends the primary's log to its replicas; the group's mutex is held.
func (g *group) replicate() {
	var leader *database
	for _, d := range g.servers {
		if d.primary && d.alive && (leader == nil || d.term > leader.term) {
			leader = d
		}
	}
	if leader == nil {
		return
	}
	log, term := leader.log[:len(leader.log):len(leader.log)], leader.term
	for _, r := range g.servers {
		if r == leader || r.primary {
			continue
		}
		time.AfterFunc(networkDelay, func() { r.receive(log, term) })
	}
}

// receive takes over a longer log, or that of a later term.
func (d *database) receive(log []commit, term uint64) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if !d.alive || d.deaf || d.primary || term < d.term || term == d.term && len(log) <= len(d.log) {
		return
	}
	common := 0
	for common < len(d.log) && common < len(log) && d.log[common].term == log[common].term {
		common++
	}
	if common < d.applied {
		d.applied, d.values = 0, map[string]string{}
		d.log = log
		d.applyUpTo(common)
	}
	d.log, d.term = log, term
	d.group.changed.Broadcast()
	time.AfterFunc(applyDelay, func() {
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		if d.alive && d.term == term {
			d.applyUpTo(min(len(log), len(d.log)))
		}
	})
}

// applyUpTo applies the log up to a length; the group's mutex is held.
func (d *database) applyUpTo(length int) {
	for ; d.applied < length; d.applied++ {
		for _, change := range d.log[d.applied].changes {
			d.values[change[0]] = change[1]
		}
	}
}

// lead makes a database the primary of the next term with what it has received.
func (g *group) lead(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !d.alive || d.primary {
		return
	}
	highest := uint64(0)
	for _, s := range g.servers {
		highest = max(highest, s.term)
	}
	d.primary, d.term = true, highest+1
	g.highestTerm = d.term
	d.applyUpTo(len(d.log))
	g.rec.say("%s leads term %d with %s", d.id, d.term, positionAt(d.log, len(d.log)))
	if g.promoted != nil {
		g.promoted(d, d.log)
	}
	for _, s := range g.servers {
		// The old primary continues until STEPDOWN, or until a second after it can reach the new one.
		if s != d && s.primary {
			time.AfterFunc(time.Second, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if s.alive && s.primary && s.term < d.term {
					s.primary = false
					g.replicate()
				}
			})
		}
	}
	g.replicate()
}
