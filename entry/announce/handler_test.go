package announce_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/entry/announce"
	"trefoilcourse/entry/internal/metrics"
	"trefoilcourse/entry/internal/view"
	"trefoilcourse/wire"
)

type fakeSink struct {
	accepted []*wire.Announcement
	urgent   int
}

func (s *fakeSink) Announce(a *wire.Announcement, urgent bool) bool {
	s.accepted = append(s.accepted, a)
	if urgent {
		s.urgent++
	}
	return true
}

func newHandler() (*announce.Handler, *fakeSink) {
	v := view.New()
	v.ApplyRenewal(time.Now(), &wire.RenewResponse{
		ConfigurationVersion: 1, ConfigurationWhole: true, DirectoryEpoch: 1, DirectoryWhole: true,
		Objects: []*wire.Object{{Kind: "database-group", Name: "g", Body: []byte(`{"slots":["a","b","c"],"connections":45}`)}},
		Groups:  []*wire.GroupState{{Group: "g", Term: 4, PrimarySlot: "b", Servers: []*wire.Server{{Slot: "b", Address: "h:1"}}}},
	})
	s := &fakeSink{}
	return &announce.Handler{View: v, Sink: s, Metrics: &metrics.Metrics{}}, s
}

const validBody = `{"group":"g","slot":"a","incarnation":"1","address":"127.0.0.1:5432","failure-domain":"d1","primary":false,"term":4,"log-term":4,"position":"0/A0","leaving":false}`

func post(h http.Handler, body, remote string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, announce.Path, strings.NewReader(body))
	r.RemoteAddr = remote
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestAcceptsAnnouncement(t *testing.T) {
	is := is.New(t)
	h, s := newHandler()
	w := post(h, validBody, "127.0.0.1:1")
	is.Equal(w.Code, http.StatusOK)
	is.True(strings.Contains(w.Body.String(), `"term":4,"primary-slot":"b","primary-address":"h:1"`))
	is.Equal(s.accepted[0].GetPosition().GetOffset(), uint64(0xa0))
	post(h, validBody, "127.0.0.1:1")
	is.Equal(s.urgent, 1) // a repeated announcement is not urgent
	post(h, strings.Replace(validBody, `"leaving":false`, `"leaving":true`, 1), "127.0.0.1:1")
	is.Equal(s.urgent, 2)
}

// TestRefusesInvalidAnnouncement checks that an invalid announcement is refused with its reason and
// does not reach the sink.
func TestRefusesInvalidAnnouncement(t *testing.T) {
	cases := map[string]string{
		strings.Replace(validBody, `"group":"g"`, `"group":"h"`, 1):            `database-group \"h\" does not exist`,
		strings.Replace(validBody, `"slot":"a"`, `"slot":"z"`, 1):              `has no slot \"z\"`,
		strings.Replace(validBody, `"0/A0"`, `"nowhere"`, 1):                   `has no slash`,
		strings.Replace(validBody, `"127.0.0.1:5432"`, `"127.0.0.1"`, 1):       `address`,
		strings.Replace(validBody, `"incarnation":"1"`, `"incarnation":""`, 1): `incarnation has 0 bytes`,
		strings.Replace(validBody, `"leaving"`, `"leavign"`, 1):                `unknown field`,
		"not json":                            `does not decode`,
		strings.Repeat(" ", 5000) + validBody: `does not decode`,
	}
	for body, want := range cases {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			h, s := newHandler()
			w := post(h, body, "127.0.0.1:1")
			is.Equal(w.Code, http.StatusBadRequest)
			if !strings.Contains(w.Body.String(), want) {
				t.Fatalf("want %q in %s", want, w.Body.String())
			}
			is.Equal(len(s.accepted), 0)
		})
	}
}

// TestRateLimitIsPerSource checks that a flood from one source does not block others.
func TestRateLimitIsPerSource(t *testing.T) {
	is := is.New(t)
	h, _ := newHandler()
	last := 0
	for range 2000 {
		last = post(h, validBody, "10.0.0.1:1").Code
	}
	is.Equal(last, http.StatusTooManyRequests)
	is.Equal(post(h, validBody, "10.0.0.2:1").Code, http.StatusOK)
}

func FuzzAnnouncement(f *testing.F) {
	f.Add(validBody)
	f.Fuzz(func(_ *testing.T, body string) {
		h, _ := newHandler()
		post(h, body, "127.0.0.1:1")
	})
}
