package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["revoked"] = runRevoked }

// runRevoked takes the keys of the only tenant away, and has consumers with the old key and with a key that never was in a
// configuration connect after revoke_ms.
func runRevoked(r *record) error {
	const revoke = 5 * time.Second
	i, err := install(r, 3, 3, map[string]string{"bounds.revoke_ms": "5000"})
	if i != nil {
		defer i.stop()
	}
	if err != nil {
		return err
	}
	const key, unknown = "2rrytapjsujqurtyiikd", "zzzzzzzzzzzzzzzzzzzz"
	tenants := func(keys ...string) object {
		return object{"tenants": []object{{"name": "miny420", "api_keys": append([]string{}, keys...), "priority": 1, "rate_per_s": 360, "burst": 360}}}
	}
	if err := i.operator.publish(r, configuration(1, "cilt-ledger", tenants(key)), 20*time.Second); err != nil {
		return err
	}
	if err := i.serves(key, 20*time.Second); err != nil {
		return err
	}
	refusedBefore, err := i.refuses(unknown)
	if err != nil || !refusedBefore {
		return errors.Join(errors.New("an unknown key is served before the change"), err)
	}
	// Without the disruption another key is taken away, and the tenant keeps this one.
	next := tenants()
	if !trouble() {
		next = tenants("rbn4ryrbbkf83fgfwrz5")
	}
	if err := i.operator.publish(r, configuration(2, "cilt-ledger", next), 10*time.Second); err != nil {
		return err
	}
	time.Sleep(revoke + time.Second)
	r.say("more than revoke_ms (5000) have passed since the ack")
	var broken []error
	for _, k := range []struct{ key, rule string }{
		{key, "CONFIG: a request sent later than revoke_ms after the ack that took its key away has run"},
		{unknown, "ROUTE: a request has run whose key no configuration ever held"},
	} {
		refused, err := i.refuses(k.key)
		if err != nil {
			return err
		}
		if !refused {
			broken = append(broken, fmt.Errorf("%w: %s", errBroken, k.rule))
		}
	}
	return errors.Join(broken...)
}

// refuses reports whether no machine has a write with a key run by a database.
func (i *installation) refuses(key string) (bool, error) {
	refused := true
	for _, m := range i.machines {
		id := newID()
		c, first, err := dialConsumer(i.record, "consumer", i.front(m), "orders", key)
		i.record.say("consumer: CONNECT orders %s at %s: %q %v", key, m.name, first, err)
		if c == nil {
			continue
		}
		a, err := c.query(id, "WRITE volume-1 "+id, 2*time.Second)
		i.record.say("consumer: QUERY %s WRITE volume-1 %s: COMPLETE %q ERROR %q %v", id, id, a.mac, a.code+" "+a.message, err)
		c.close()
		if i.ran(id) {
			refused = false
		}
	}
	return refused, nil
}

// ran reports whether a database has run the statement with an id.
func (i *installation) ran(id string) bool {
	i.service.mu.Lock()
	defer i.service.mu.Unlock()
	for _, d := range i.service.databases {
		for _, r := range d.runs {
			if r.id == id {
				return true
			}
		}
	}
	return false
}
