package metrics_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/entry/internal/metrics"
)

func TestServeTextListsCounters(t *testing.T) {
	is := is.New(t)
	var m metrics.Metrics
	m.Publish("trefoil-test")
	m.Unknown.Add(3)
	for ms := range 100 {
		m.Latency("done").Record(time.Duration(ms+1) * time.Millisecond)
	}
	m.Latency("done").Record(time.Hour)
	w := httptest.NewRecorder()
	metrics.ServeText(w, nil)
	for _, line := range []string{"trefoil_unknown 3", "trefoil_latency_done_count 101", "trefoil_latency_done_p50_ms 51"} {
		is.True(strings.Contains(w.Body.String(), line+"\n")) // line is present
	}
}
