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

// Settings is the settings file of the stand-in program.
type Settings struct {
	Groups []GroupSettings `json:"groups"`
	// Announce lists the URLs that announcements are posted to in turn.
	Announce []string `json:"announce"`
}

// GroupSettings configures one group.
type GroupSettings struct {
	Name                string         `json:"name"`
	Slots               []SlotSettings `json:"slots"`
	ReplayMilliseconds  int            `json:"replay-milliseconds,omitempty"`
	ConnectMilliseconds int            `json:"connect-milliseconds,omitempty"`
	MaxConnections      int            `json:"connections,omitempty"`
}

// SlotSettings configures one server of a group.
type SlotSettings struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Address       string `json:"address"`
}

// NewGroups returns the configured groups, not yet started.
func (s Settings) NewGroups() []*Group {
	var groups []*Group
	for _, settings := range s.Groups {
		g := &Group{
			Name: settings.Name, Announce: HTTPAnnouncer(s.Announce), MaxConnections: settings.MaxConnections,
			ReplayLag:    time.Duration(settings.ReplayMilliseconds) * time.Millisecond,
			ConnectDelay: time.Duration(settings.ConnectMilliseconds) * time.Millisecond,
		}
		for _, slot := range settings.Slots {
			g.Slots = append(g.Slots, Slot(slot))
		}
		groups = append(groups, g)
	}
	return groups
}

// HTTPAnnouncer returns a function that posts announcements to the URLs in turn. It ignores failures,
// since every server announces itself again a second later.
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
