package control

import (
	"bytes"
	"sync"

	"trefoilcourse/coord/config"
	"trefoilcourse/wire"
)

// publishChecker checks publishes and caches the objects of the last valid one, since the next one
// mostly repeats them. Its zero value is ready to use and safe for concurrent use.
type publishChecker struct {
	mu    sync.Mutex
	known map[config.Key]config.ParsedObject
}

// rejectionReason returns why a publish is refused, or "".
func (c *publishChecker) rejectionReason(r *wire.PublishRequest) string {
	if r.GetId() == "" {
		return "the publish has no id; give it one, so that it can be sent again"
	}
	objects := make([]config.ParsedObject, 0, len(r.GetObjects()))
	for _, o := range r.GetObjects() {
		p, ok := c.lookup(o)
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
	c.replace(objects)
	return ""
}

// lookup returns the cached object if its body is the same.
func (c *publishChecker) lookup(o *wire.Object) (config.ParsedObject, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.known[config.Key{Kind: o.GetKind(), Name: o.GetName()}]
	return p, ok && bytes.Equal(p.Body(), o.GetBody())
}

func (c *publishChecker) replace(objects []config.ParsedObject) {
	known := make(map[config.Key]config.ParsedObject, len(objects))
	for _, p := range objects {
		known[p.Key()] = p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = known
}
