package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"
)

const announceTimeout = time.Second

// Settings is what the stand-in program reads from its settings file.
type Settings struct {
	Groups []GroupSettings `json:"groups"`
	// Announce lists the URLs that take announcements, in turn.
	Announce []string `json:"announce"`
}

// GroupSettings is one group of the stand-in program.
type GroupSettings struct {
	Name                string         `json:"name"`
	Slots               []SlotSettings `json:"slots"`
	ReplayMilliseconds  int            `json:"replay-milliseconds,omitempty"`
	ConnectMilliseconds int            `json:"connect-milliseconds,omitempty"`
	MaxConnections      int            `json:"connections,omitempty"`
}

// SlotSettings is one server of a group of the stand-in program.
type SlotSettings struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Address       string `json:"address"`
}

// NewGroups makes the groups that the settings ask for.
func (s Settings) NewGroups() []*Group {
	var groups []*Group
	for _, gs := range s.Groups {
		g := &Group{
			Name: gs.Name, Announce: HTTPAnnouncer(s.Announce), MaxConnections: gs.MaxConnections,
			ReplayLag:    time.Duration(gs.ReplayMilliseconds) * time.Millisecond,
			ConnectDelay: time.Duration(gs.ConnectMilliseconds) * time.Millisecond,
		}
		for _, slot := range gs.Slots {
			g.Slots = append(g.Slots, Slot(slot))
		}
		groups = append(groups, g)
	}
	return groups
}

// HTTPAnnouncer returns a function that posts announcements to the URLs in turn; one that is not
// accepted is made again a second later, as every announcement is.
func HTTPAnnouncer(urls []string) func(ctx context.Context, a Announcement) {
	var next atomic.Uint64
	return func(ctx context.Context, a Announcement) {
		body, err := json.Marshal(a)
		if err != nil || len(urls) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		url := urls[next.Add(1)%uint64(len(urls))]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
	}
}
