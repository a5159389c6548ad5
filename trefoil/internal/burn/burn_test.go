package burn_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/trefoil/internal/burn"
)

var now = time.Unix(2_000_000, 0)

func sample(ago time.Duration, life string, good, bad int64) burn.Sample {
	return burn.Sample{Time: now.Add(-ago), VM: "e1", Life: life, Service: "ledger", Good: good, Bad: bad}
}

// TestRestart: a daemon that starts again counts from nothing, and nothing counts twice.
func TestRestart(t *testing.T) {
	is := is.New(t)
	samples := []burn.Sample{
		sample(2*time.Hour, "a", 1000, 10),
		sample(30*time.Minute, "a", 1500, 10),
		sample(20*time.Minute, "b", 100, 1),
		sample(time.Minute, "b", 400, 4),
		sample(time.Minute, "b", 400, 4), // the same sample twice
	}
	s := burn.Report(now, samples, map[string]float64{"ledger": 99}, 99.9)[0]
	is.Equal(s.Windows[0].Good, int64(300)) // 5 minutes: b from 100
	is.Equal(s.Windows[1].Good, int64(900)) // an hour: 500 of a, 400 of b
	is.Equal(s.Windows[1].Bad, int64(4))
	is.Equal(s.Windows[4].Good, int64(1900))
	is.Equal(s.Windows[4].Bad, int64(14))
	is.True(s.Windows[0].Rate > 0.98 && s.Windows[0].Rate < 1) // 3 of 303 against 1%
}

func TestRecord(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(burn.Write(&b, []burn.Sample{sample(0, "a", 1, 2), sample(0, "b", 3, 4)}))
	text := b.String()
	back, err := burn.Read(strings.NewReader(text))
	is.NoErr(err)
	is.Equal(len(back), 2)
	_, err = burn.Read(strings.NewReader(text + "nonsense"))
	is.True(err != nil)
}

func TestPage(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	services := burn.Report(now, []burn.Sample{{Time: now, VM: "e1", Life: "a", Service: "<script>", Good: 1, Bad: 1}}, nil, 99.9)
	is.NoErr(burn.HTML(&b, services))
	is.True(!strings.Contains(b.String(), "<script>"))
	is.True(strings.Contains(b.String(), `class="alarm"`))
}
