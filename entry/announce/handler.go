package announce

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/wire"
	"trefoilcourse/wire/lsn"
)

const (
	// Path is where servers post their announcements.
	Path = "/v1/announce"

	maxBodyBytes   = 4096
	maxNameBytes   = 128
	sourceInterval = time.Minute
	// maxPerSource is how many announcements one address may make in a sourceInterval.
	maxPerSource = 1200
	maxSources   = 4096
)

// Request is the JSON body of an announcement.
type Request struct {
	Group         string `json:"group"`
	Slot          string `json:"slot"`
	Incarnation   string `json:"incarnation"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	Primary       bool   `json:"primary"`
	Term          uint64 `json:"term"`
	LogTerm       uint64 `json:"log-term"`
	Position      string `json:"position"`
	Leaving       bool   `json:"leaving"`
}

// Response is the JSON body of the reply: the term and primary of the server's group, or an error.
type Response struct {
	Term           uint64 `json:"term"`
	PrimarySlot    string `json:"primary-slot"`
	PrimaryAddress string `json:"primary-address"`
	Error          string `json:"error,omitempty"`
}

// Sink takes accepted announcements and reports false when there are too many.
type Sink interface {
	Announce(a *wire.Announcement, urgent bool) bool
}

// Handler serves announcements; set the exported fields first.
type Handler struct {
	View    *view.View
	Sink    Sink
	Metrics *metrics.Metrics

	mu      sync.Mutex
	started time.Time
	counts  map[string]int
	leaving map[string]bool
}

// ServeHTTP checks an announcement and passes it on; one that is refused changes nothing.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		h.refuse(w, http.StatusMethodNotAllowed, errors.New("use POST"))
		return
	}
	if !h.allow(time.Now(), r.RemoteAddr) {
		h.refuse(w, http.StatusTooManyRequests, fmt.Errorf("more than %d announcements a minute from one address", maxPerSource))
		return
	}
	a, err := decode(r.Body)
	if err == nil {
		err = h.check(a)
	}
	if err != nil {
		h.refuse(w, http.StatusBadRequest, err)
		return
	}
	if !h.Sink.Announce(a, h.changes(a)) {
		h.refuse(w, http.StatusServiceUnavailable, errors.New("too many servers announce to this entry VM"))
		return
	}
	h.Metrics.AnnounceAccepted.Add(1)
	h.answer(w, http.StatusOK, h.standing(a.GetGroup()))
}

func decode(body io.Reader) (*wire.Announcement, error) {
	var b Request
	decoder := json.NewDecoder(io.LimitReader(body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		return nil, fmt.Errorf("the announcement does not decode: %w", err)
	}
	offset, err := lsn.Parse(b.Position)
	if err != nil {
		return nil, err
	}
	for name, value := range map[string]string{"group": b.Group, "slot": b.Slot, "incarnation": b.Incarnation, "failure-domain": b.FailureDomain} {
		if value == "" || len(value) > maxNameBytes {
			return nil, fmt.Errorf("%s has %d bytes; give 1 to %d", name, len(value), maxNameBytes)
		}
	}
	if _, _, err := net.SplitHostPort(b.Address); err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	return &wire.Announcement{
		Group: b.Group, Slot: b.Slot, Incarnation: b.Incarnation, Address: b.Address,
		FailureDomain: b.FailureDomain, Primary: b.Primary, Term: b.Term, Leaving: b.Leaving,
		Position: &wire.Position{Term: b.LogTerm, Offset: offset},
	}, nil
}

// check refuses servers that the configuration does not know.
func (h *Handler) check(a *wire.Announcement) error {
	g, _, ok := h.View.Configured(a.GetGroup())
	if !ok {
		return fmt.Errorf("database-group %q does not exist in the configuration in force", a.GetGroup())
	}
	if !slices.Contains(g.Slots, a.GetSlot()) {
		return fmt.Errorf("database-group %q has no slot %q", a.GetGroup(), a.GetSlot())
	}
	return nil
}

// changes reports whether an announcement tells something that must not wait.
func (h *Handler) changes(a *wire.Announcement) bool {
	key := a.GetGroup() + "/" + a.GetSlot()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving == nil {
		h.leaving = map[string]bool{}
	}
	before, known := h.leaving[key]
	h.leaving[key] = a.GetLeaving()
	return !known || before != a.GetLeaving()
}

// allow counts announcements by source address.
func (h *Handler) allow(now time.Time, remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.started) > sourceInterval {
		h.started = now
		h.counts = map[string]int{}
	}
	if _, known := h.counts[host]; !known && len(h.counts) >= maxSources {
		return false
	}
	h.counts[host]++
	return h.counts[host] <= maxPerSource
}

func (h *Handler) standing(group string) Response {
	state := h.View.Group(group)
	answer := Response{Term: state.GetTerm(), PrimarySlot: state.GetPrimarySlot()}
	for _, s := range state.GetServers() {
		if s.GetSlot() == state.GetPrimarySlot() {
			answer.PrimaryAddress = s.GetAddress()
		}
	}
	return answer
}

func (h *Handler) refuse(w http.ResponseWriter, status int, err error) {
	h.Metrics.AnnounceRefused.Add(1)
	h.answer(w, status, Response{Error: err.Error()})
}

func (h *Handler) answer(w http.ResponseWriter, status int, a Response) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}
