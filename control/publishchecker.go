package control

import (
	"bytes"
	"sync"

	"trefoilcourse/coord/config"
	"trefoilcourse/wire"
)

// checked keeps the objects of the last publish that had no fault, so that the next, which mostly
// repeats them, costs what it changes. It is ready for use as it is and safe for concurrent use.
type checked struct {
	mu    sync.Mutex
	known map[config.Key]config.Parsed
}

// faults returns why a publish is refused, or nothing.
func (c *checked) faults(r *wire.PublishRequest) string {
	if r.GetId() == "" {
		return "the publish has no id; give it one, so that it can be sent again"
	}
	objects := make([]config.Parsed, 0, len(r.GetObjects()))
	for _, o := range r.GetObjects() {
		p, ok := c.recall(o)
		if !ok {
			parsed, faults := config.FromWire(o.GetKind(), o.GetName(), o.GetBody())
			if len(faults) > 0 {
				return faults[0].String()
			}
			p = parsed
		}
		objects = append(objects, p)
	}
	if _, faults := config.Check(objects); len(faults) > 0 {
		return faults[0].String()
	}
	c.keep(objects)
	return ""
}

// recall returns an object that was found right before, if it is the same.
func (c *checked) recall(o *wire.Object) (config.Parsed, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.known[config.Key{Kind: o.GetKind(), Name: o.GetName()}]
	return p, ok && bytes.Equal(p.Body(), o.GetBody())
}

func (c *checked) keep(objects []config.Parsed) {
	known := make(map[config.Key]config.Parsed, len(objects))
	for _, p := range objects {
		known[p.Key()] = p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = known
}
