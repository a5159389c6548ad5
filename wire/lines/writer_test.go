package lines_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/wire/lines"
)

// stuck is an output that blocks in its first write until release is closed.
type stuck struct {
	bytes.Buffer
	entered chan bool
	release chan bool
	once    bool
}

func (s *stuck) Write(p []byte) (int, error) {
	if !s.once {
		s.once = true
		s.entered <- true
		<-s.release
	}
	return s.Buffer.Write(p)
}

// TestOutputThatNobodyReads checks that writes do not block while the output does, and that the
// dropped lines are counted and reported.
func TestOutputThatNobodyReads(t *testing.T) {
	is := is.New(t)
	out := &stuck{entered: make(chan bool), release: make(chan bool)}
	w := lines.New(out)
	_, _ = w.Write([]byte("first\n"))
	<-out.entered
	for range 20_000 {
		n, err := w.Write([]byte("line\n"))
		is.Equal(n, 5)
		is.NoErr(err)
	}
	dropped := w.Dropped()
	is.True(dropped > 10_000)
	close(out.release)
	w.Close()
	text := out.String()
	is.Equal(strings.Count(text, "\nline")+int(dropped), 20_000)
	is.True(strings.Contains(text, "log lines were dropped"))
}
