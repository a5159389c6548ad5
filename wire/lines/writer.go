package lines

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// capacity is the maximum number of queued lines: a few megabytes, or seconds of the heaviest
	// logging.
	capacity = 8192
	// closeTimeout is how long Close waits for an output that blocks.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer of whole lines that never blocks.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	closing sync.Once
	closed  chan struct{}
	ended   chan struct{}
}

// New returns a writer to out and starts its goroutine, which Close stops.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, capacity), closed: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops and counts it if the queue is full; it never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and stops the goroutine, but waits at most closeTimeout.
func (w *Writer) Close() {
	w.closing.Do(func() { close(w.closed) })
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.ended)
	for {
		select {
		case line := <-w.queue:
			w.put(line)
		case <-w.closed:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.queue:
			w.put(line)
		default:
			return
		}
	}
}

func (w *Writer) put(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		// A failure of the output cannot be reported anywhere.
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines were dropped\",\"count\":%d}\n", n)
	}
	_, _ = w.out.Write(line)
}
