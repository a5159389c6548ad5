package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// platform carries out promotes.
type platform struct {
	rec    *record
	groups map[string]*group
	server *http.Server
	// slowness is how long a call takes before it is carried out and answered.
	slowness atomic.Int64
}

// servePlatform listens for promotes.
func (f *fleet) servePlatform(groups ...*group) error {
	p := &platform{rec: f.rec, groups: map[string]*group{}}
	for _, g := range groups {
		p.groups[g.name] = g
	}
	l, err := net.Listen("tcp", f.promoteAddress())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.promote)
	p.server = &http.Server{Handler: mux}
	f.services = p
	go func() { _ = p.server.Serve(l) }()
	return nil
}

func (p *platform) promote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.rec.say("the platform is asked by %s with %s to promote %s of %s", r.Header.Get("Trefoilcourse-Lease-Holder"), r.Header.Get("Trefoilcourse-Fence-Token"), body.ID, body.Service)
	if slowness := time.Duration(p.slowness.Load()); slowness > 0 {
		time.Sleep(slowness)
		p.rec.say("the platform carries out the promote of %s", body.ID)
	}
	g := p.groups[body.Service]
	if g == nil {
		http.Error(w, "unknown service", http.StatusNotFound)
		return
	}
	for _, d := range g.servers {
		if d.id == body.ID {
			if d.dead() {
				break
			}
			time.AfterFunc(promoteDelay, func() { g.lead(d) })
			return
		}
	}
	http.Error(w, "not running", http.StatusConflict)
}
