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

	"trefoilcourse/coord/announcement"
	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/wire"
	"trefoilcourse/wire/lsn"
)

const (
	// Path is where servers post their announcements.
	Path = "/v1/announce"

	maxBodyBytes      = 4096
	maxNameBytes      = 128
	rateLimitInterval = time.Minute
	// maxPerInterval limits the announcements of one source address in a rateLimitInterval.
	maxPerInterval = 1200
	maxSources     = 4096
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

// Sink receives accepted announcements; Announce returns false when there are too many.
type Sink interface {
	Announce(a *wire.Announcement, urgent bool) bool
}

// Handler serves announcements; set the exported fields first.
type Handler struct {
	View    *view.View
	Sink    Sink
	Metrics *metrics.Metrics

	mu            sync.Mutex
	intervalStart time.Time
	sourceCounts  map[string]int
	leaving       map[string]bool
}

// ServeHTTP validates an announcement and sends it to the Sink; a refused one has no effect.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		h.refuse(w, http.StatusMethodNotAllowed, errors.New("use POST"))
		return
	}
	if !h.allow(time.Now(), r.RemoteAddr) {
		h.refuse(w, http.StatusTooManyRequests, fmt.Errorf("more than %d announcements a minute from one address", maxPerInterval))
		return
	}
	a, err := decode(r.Body)
	if err == nil {
		err = h.checkConfigured(a)
	}
	if err != nil {
		h.refuse(w, http.StatusBadRequest, err)
		return
	}
	if !h.Sink.Announce(a, h.isUrgent(a)) {
		h.refuse(w, http.StatusServiceUnavailable, errors.New("too many servers announce to this entry VM"))
		return
	}
	h.Metrics.AnnounceAccepted.Add(1)
	h.respond(w, http.StatusOK, h.groupStatus(a.GetGroup()))
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
	a := &wire.Announcement{
		Group: b.Group, Slot: b.Slot, Incarnation: b.Incarnation, Address: b.Address,
		FailureDomain: b.FailureDomain, Primary: b.Primary, Term: b.Term, Leaving: b.Leaving,
		Position: &wire.Position{Term: b.LogTerm, Offset: offset},
	}
	return a, announcement.Check(a)
}

// checkConfigured refuses servers whose group or slot is not in the configuration.
func (h *Handler) checkConfigured(a *wire.Announcement) error {
	g, _, ok := h.View.GroupConfig(a.GetGroup())
	if !ok {
		return fmt.Errorf("database-group %q does not exist in the configuration in force", a.GetGroup())
	}
	if !slices.Contains(g.Slots, a.GetSlot()) {
		return fmt.Errorf("database-group %q has no slot %q", a.GetGroup(), a.GetSlot())
	}
	return nil
}

// isUrgent reports whether an announcement is a server's first or changes its leaving state.
func (h *Handler) isUrgent(a *wire.Announcement) bool {
	key := a.GetGroup() + "/" + a.GetSlot()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving == nil {
		h.leaving = map[string]bool{}
	}
	previous, known := h.leaving[key]
	h.leaving[key] = a.GetLeaving()
	return !known || previous != a.GetLeaving()
}

// allow applies the rate limit per source address.
func (h *Handler) allow(now time.Time, remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.intervalStart) > rateLimitInterval {
		h.intervalStart = now
		h.sourceCounts = map[string]int{}
	}
	if _, known := h.sourceCounts[host]; !known && len(h.sourceCounts) >= maxSources {
		return false
	}
	h.sourceCounts[host]++
	return h.sourceCounts[host] <= maxPerInterval
}

func (h *Handler) groupStatus(group string) Response {
	state := h.View.Group(group)
	response := Response{Term: state.GetTerm(), PrimarySlot: state.GetPrimarySlot()}
	for _, s := range state.GetServers() {
		if s.GetSlot() == state.GetPrimarySlot() {
			response.PrimaryAddress = s.GetAddress()
		}
	}
	return response
}

func (h *Handler) refuse(w http.ResponseWriter, status int, err error) {
	h.Metrics.AnnounceRefused.Add(1)
	h.respond(w, status, Response{Error: err.Error()})
}

func (h *Handler) respond(w http.ResponseWriter, status int, a Response) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}
