package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["repointed"] = runRepointed }

// asked is one request and the machine that took it from the consumer.
type asked struct {
	machine int
	route   int
	id      string
	sent    time.Duration
}

// runRepointed publishes versions that remove the route of each host and add one to another service, and looks for machines
// that have handled a request by the new version and later ones by the old.
//
// Whether a change shows it depends on when the owners renew, which a start decides. So there are two rounds.
func runRepointed(r *record) error {
	for range 2 {
		if err := runRepointedRound(r); err != nil {
			return err
		}
	}
	return nil
}

func runRepointedRound(r *record) error {
	const (
		downgrade = 250 * time.Millisecond
		versions  = 18
		interval  = 2 * time.Second
		machines  = 5
	)
	names := []string{"dahu75a", "fiwu23c", "huno90b", "kafi81c", "lohu93e"}
	i, err := install(r, machines, 3, nil, names...)
	if i != nil {
		defer i.stop()
	}
	if err != nil {
		return err
	}
	for _, s := range i.services {
		s.work, s.quiet = 3*time.Millisecond, true
	}
	// serviceOf is the service of a route in a version.
	serviceOf := func(version, route int) int {
		if !trouble() {
			version = 1
		}
		return (version + route) % len(names)
	}
	document := func(version int) object {
		var routes, services []object
		for n, name := range names {
			s := names[serviceOf(version, n)]
			services = append(services, object{"name": name, "health_path": "/healthz", "max_conns": 44, "protocol": "h1", "tls": false, "sync_replicas": 0})
			routes = append(routes, object{
				"name": fmt.Sprintf("r-%d-%s", n, s), "host": fmt.Sprintf("host%d", n), "path_prefix": "/", "kind": "primary", "timeout_ms": 1000 + version,
				"target_latency_ms": 200, "priority": 1, "service": s, "attempts": 2,
			})
		}
		return configuration(version, names[0], object{"routes": routes, "services": services})
	}
	if err := i.operator.publish(r, document(1), 20*time.Second); err != nil {
		return err
	}
	for n := range names {
		if err := i.servesDatabase(fmt.Sprintf("host%d", n), "u3f1", 20*time.Second); err != nil {
			return err
		}
	}
	var mu sync.Mutex
	var requests []asked
	end := make(chan struct{})
	var running sync.WaitGroup
	for m := range machines {
		for n := range names {
			c, first, err := dialConsumer(r, fmt.Sprintf("consumer %d-%d", m, n), i.front(i.machines[m]), fmt.Sprintf("host%d", n), "u3f1")
			if c == nil {
				return fmt.Errorf("a consumer cannot connect: %q %v", first, err)
			}
			running.Go(func() {
				defer c.close()
				for {
					select {
					case <-end:
						return
					case <-time.After(25 * time.Millisecond):
					}
					a := asked{machine: m, route: n, id: newID(), sent: r.now()}
					if _, err := c.query(a.id, "READ 7", 3*time.Second); err != nil {
						r.say("%s: %v", c.name, err)
						return
					}
					mu.Lock()
					requests = append(requests, a)
					mu.Unlock()
				}
			})
		}
	}
	acked := map[int]time.Duration{}
	for version := 2; version <= versions; version++ {
		time.Sleep(interval + time.Duration(rand.IntN(500))*time.Millisecond)
		if err := i.operator.publish(r, document(version), 10*time.Second); err != nil {
			return err
		}
		acked[version] = r.now()
	}
	time.Sleep(interval)
	close(end)
	running.Wait()
	type ran struct {
		service int
		at      time.Duration
	}
	runs := map[string]ran{}
	for n, s := range i.services {
		s.mu.Lock()
		for _, d := range s.databases {
			for _, x := range d.runs {
				runs[x.id] = ran{n, x.at}
			}
		}
		s.mu.Unlock()
	}
	for _, a := range requests {
		x, ok := runs[a.id]
		for version, at := range acked {
			if ok && a.sent > at-50*time.Millisecond && a.sent < at+500*time.Millisecond {
				r.say("request %s for host%d: sent to %s at %.3f s, %v after the ack of version %d; ran at %s at %.3f s, answered", a.id, a.route,
					i.machines[a.machine].name, a.sent.Seconds(), (a.sent - at).Round(time.Millisecond), version, names[x.service], x.at.Seconds())
			}
		}
	}
	broken := 0
	for version := 2; version <= versions && trouble(); version++ {
		for m := range machines {
			var effect time.Duration
			for _, a := range requests {
				x, ok := runs[a.id]
				if ok && a.machine == m && a.sent > acked[version]-interval/2 && a.sent < acked[version]+interval/2 && x.service == serviceOf(version, a.route) && (effect == 0 || x.at < effect) {
					effect = x.at
				}
			}
			for _, a := range requests {
				x, ok := runs[a.id]
				if ok && effect > 0 && a.machine == m && a.sent > effect+downgrade && a.sent < acked[version]+interval/2 && x.service == serviceOf(version-1, a.route) {
					broken++
					r.say("%s: a database saw version %d at %.3f s; request %s for host%d, sent %v later, ran at %s, as only version %d allows",
						i.machines[m].name, version, effect.Seconds(), a.id, a.route, (a.sent - effect).Round(time.Millisecond), names[x.service], version-1)
				}
			}
		}
	}
	r.say("%d requests, %d of them handled by a version that the machine had left", len(requests), broken)
	if broken > 0 {
		return fmt.Errorf("%w: CONFIG: a machine regresses, %d requests", errBroken, broken)
	}
	return nil
}
