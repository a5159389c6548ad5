package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoilcourse/control"
	"trefoilcourse/entry"
	"trefoilcourse/entry/announce"
	"trefoilcourse/standin"
	operator "trefoilcourse/trefoil/internal/control"
	"trefoilcourse/wire"
	"trefoilcourse/wire/protorpc"
)

// Plan says what a rig consists of.
type Plan struct {
	// Domains are the failure domains over which everything is spread in turn.
	Domains []string
	// Controls and Entries are the numbers of control VMs and entry VMs.
	Controls, Entries int
	// Groups are the groups of backend servers.
	Groups []*standin.Group
	// Delay returns the one-way delay between two failure domains; nil means none.
	Delay func(from, to string) time.Duration
	// Owners is the number of entry VMs that own a group; 0 means the daemon's own choice.
	Owners int
	// Plain leaves out the network's delays and cuts, which cost processor time.
	Plain bool
	// Folder holds the control VMs' data folders.
	Folder string
	// Log receives the daemons' lines; nil discards them.
	Log logrus.FieldLogger
}

// Rig is a running deployment.
type Rig struct {
	// Network delays and cuts connections between VMs.
	Network Network

	plan     Plan
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	controls map[string]*process
	entries  map[string]*process
	addrs    map[string]string
}

// process is a daemon that runs in this process.
type process struct {
	cancel context.CancelFunc
	ended  chan error
	domain string
	entry  *entry.Server
	http   string
	caller string
}

// Start starts everything.
func Start(ctx context.Context, p Plan) (*Rig, error) {
	if p.Log == nil {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		p.Log = quiet
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &Rig{
		plan: p, ctx: ctx, cancel: cancel,
		controls: map[string]*process{}, entries: map[string]*process{}, addrs: map[string]string{},
	}
	r.Network.Delay = func(from, to string) time.Duration {
		if p.Delay == nil {
			return 0
		}
		return p.Delay(domainOf(from), domainOf(to))
	}
	if err := r.startAll(); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

// domainOf takes the failure domain off a place, which is domain/name.
func domainOf(place string) string {
	domain, _, _ := bytes.Cut([]byte(place), []byte("/"))
	return string(domain)
}

func (r *Rig) startAll() error {
	for i := range r.plan.Controls {
		if err := r.reserve(r.controlName(i), r.domain(i)); err != nil {
			return err
		}
	}
	for i := range r.plan.Controls {
		if err := r.StartControl(i); err != nil {
			return err
		}
	}
	for i := range r.plan.Entries {
		if err := r.StartEntry(i); err != nil {
			return err
		}
	}
	for _, g := range r.plan.Groups {
		g.Announce = r.announce
		if err := g.Start(r.ctx); err != nil {
			return err
		}
		for _, slot := range g.Slots {
			r.Network.Place(g.Server(slot.Name).Address(), slot.FailureDomain+"/"+g.Name+"-"+slot.Name)
		}
	}
	return nil
}

func (r *Rig) controlName(i int) string { return fmt.Sprintf("c%d", i+1) }

func (r *Rig) entryName(i int) string { return fmt.Sprintf("e%d", i+1) }

func (r *Rig) domain(i int) string { return r.plan.Domains[i%len(r.plan.Domains)] }

// reserve picks an address for a control VM, which its peers must know beforehand.
func (r *Rig) reserve(name, domain string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.addrs[name] = l.Addr().String()
	r.Network.Place(r.addrs[name], domain+"/"+name)
	return l.Close()
}

// ControlAddresses returns where the control VMs listen.
func (r *Rig) ControlAddresses() []string {
	var addresses []string
	for i := range r.plan.Controls {
		addresses = append(addresses, r.addrs[r.controlName(i)])
	}
	return addresses
}

// Operator returns a client of the control VMs.
func (r *Rig) Operator() *operator.Client {
	return &operator.Client{Addresses: r.ControlAddresses()}
}

// DataFolder returns the data folder of a control VM.
func (r *Rig) DataFolder(i int) string { return filepath.Join(r.plan.Folder, r.controlName(i)) }

// ControlPlace and EntryPlace return the places of VMs in the network.
func (r *Rig) ControlPlace(i int) string { return r.domain(i) + "/" + r.controlName(i) }

// EntryPlace returns the place of an entry VM in the network.
func (r *Rig) EntryPlace(i int) string { return r.domain(i) + "/" + r.entryName(i) }

// StartControl starts a control VM with the data folder it has.
func (r *Rig) StartControl(i int) error {
	name := r.controlName(i)
	peers := map[string]string{}
	for k := range r.plan.Controls {
		peers[r.controlName(k)] = r.addrs[r.controlName(k)]
	}
	listener, err := net.Listen("tcp", r.addrs[name])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(r.ctx)
	server := &control.Server{
		Settings: control.Settings{
			VM: name, FailureDomain: r.domain(i), Listen: r.addrs[name],
			DataFolder: r.DataFolder(i), Peers: peers,
		},
		Listener: listener, Log: r.plan.Log, Owners: r.plan.Owners,
		Dialer: r.dialer(r.ControlPlace(i)),
	}
	p := &process{cancel: cancel, ended: make(chan error, 1), domain: r.domain(i)}
	go func() { p.ended <- server.Run(ctx) }()
	r.mu.Lock()
	r.controls[name] = p
	r.mu.Unlock()
	return nil
}

func (r *Rig) dialer(place string) protorpc.Dialer {
	if r.plan.Plain {
		return &net.Dialer{}
	}
	return &Dialer{Network: &r.Network, From: place}
}

// StopControl stops a control VM.
func (r *Rig) StopControl(i int) { r.stop(r.controls, r.controlName(i)) }

func (r *Rig) stop(processes map[string]*process, name string) {
	r.mu.Lock()
	p := processes[name]
	delete(processes, name)
	r.mu.Unlock()
	if p != nil {
		p.cancel()
		<-p.ended
	}
}

// StartEntry starts an entry VM.
func (r *Rig) StartEntry(i int) error {
	name := r.entryName(i)
	place := r.EntryPlace(i)
	var listeners [3]net.Listener
	for k := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners[k] = l
		r.Network.Place(l.Addr().String(), place)
	}
	ctx, cancel := context.WithCancel(r.ctx)
	dialer := r.dialer(place)
	server := &entry.Server{
		Settings: entry.Settings{
			VM: name, FailureDomain: r.domain(i), Control: r.ControlAddresses(),
			Callers: listeners[0].Addr().String(), Links: listeners[1].Addr().String(), HTTP: listeners[2].Addr().String(),
		},
		CallerListener: listeners[0], LinkListener: listeners[1], HTTPListener: listeners[2],
		ControlDialer: dialer, LinkDialer: dialer, BackendDialer: dialer, Log: r.plan.Log,
	}
	if err := server.Prepare(); err != nil {
		cancel()
		return err
	}
	p := &process{
		cancel: cancel, ended: make(chan error, 1), domain: r.domain(i), entry: server,
		http: listeners[2].Addr().String(), caller: listeners[0].Addr().String(),
	}
	go func() { p.ended <- server.Run(ctx) }()
	r.mu.Lock()
	r.entries[name] = p
	r.mu.Unlock()
	return nil
}

// DrainEntry stops an entry VM as planned and waits for it.
func (r *Rig) DrainEntry(i int) { r.stop(r.entries, r.entryName(i)) }

// KillEntry cuts an entry VM off for good, as if it had lost its power: it goes on for itself.
func (r *Rig) KillEntry(i int) {
	r.Network.Cut(r.EntryPlace(i), true)
	r.mu.Lock()
	p := r.entries[r.entryName(i)]
	delete(r.entries, r.entryName(i))
	r.mu.Unlock()
	if p != nil {
		p.cancel()
	}
}

// CallerAddresses returns where the entry VMs that are up accept callers.
func (r *Rig) CallerAddresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for _, p := range r.entries {
		addresses = append(addresses, p.caller)
	}
	slices.Sort(addresses)
	return addresses
}

// CallerAddress returns where an entry VM accepts callers, or "" when it is down.
func (r *Rig) CallerAddress(i int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.entries[r.entryName(i)]; p != nil {
		return p.caller
	}
	return ""
}

// Entries returns the entry VMs that are up, by name.
func (r *Rig) Entries() map[string]*entry.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	servers := map[string]*entry.Server{}
	for name, p := range r.entries {
		servers[name] = p.entry
	}
	return servers
}

// announce posts a server's announcement to some entry VM.
func (r *Rig) announce(ctx context.Context, a standin.Announcement) {
	r.mu.Lock()
	var addresses []string
	for _, p := range r.entries {
		addresses = append(addresses, p.http)
	}
	r.mu.Unlock()
	if len(addresses) == 0 {
		return
	}
	body, err := json.Marshal(a)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + addresses[rand.IntN(len(addresses))] + announce.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// Publish publishes objects on top of whatever is in force and waits until they are in force.
func (r *Rig) Publish(ctx context.Context, objects []*wire.Object) error {
	client := r.Operator()
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	result, err := client.Publish(ctx, &wire.PublishRequest{
		Id: operator.NewID(), BaseVersion: current.GetVersion(), Author: "rig", Objects: objects,
	})
	if err != nil {
		return err
	}
	if !result.GetAccepted() {
		return fmt.Errorf("publish is refused: %s", result.GetReason())
	}
	return client.AwaitInForce(ctx, result.GetVersion(), func(int, int) {})
}

// Stop stops everything at once.
func (r *Rig) Stop() {
	r.cancel()
	r.mu.Lock()
	var all []*process
	for _, p := range r.controls {
		all = append(all, p)
	}
	for _, p := range r.entries {
		all = append(all, p)
	}
	r.mu.Unlock()
	for _, p := range all {
		<-p.ended
	}
	for _, g := range r.plan.Groups {
		g.Stop()
	}
}
