package control_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"trefoilcourse/control"
	"trefoilcourse/control/internal/disk"
	"trefoilcourse/wire"
)

// TestStartOnAFullDisk guards against a control VM that gives up for good because its new data folder could
// not be written for the seconds of its start.
func TestStartOnAFullDisk(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	server := newServer(t)
	server.SetOpen(func(folder string) (control.Store, error) {
		if attempts.Add(1) < 3 {
			return nil, fmt.Errorf("open: %w: %w", disk.ErrNotWritable, syscall.ENOSPC)
		}
		return disk.Open(folder)
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	until(t, func() bool { return publish(server, 1) })
	cancel()
	is.NoErr(<-ended)
	is.Equal(attempts.Load(), int32(3))
}

// TestStopOnAFullDisk checks that a control VM that waits for its disk can be stopped.
func TestStopOnAFullDisk(t *testing.T) {
	server := newServer(t)
	server.SetOpen(func(string) (control.Store, error) { return nil, disk.ErrNotWritable })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.New(t).NoErr(server.Run(ctx))
}

// TestFailedStartAnswers guards against callers that wait for ever for a control VM whose start has failed
// for good.
func TestFailedStartAnswers(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "file")
	is.NoErr(os.WriteFile(file, nil, 0o600))
	server := newServer(t)
	server.Settings.DataFolder = filepath.Join(file, "folder")
	is.True(server.Run(context.Background()) != nil)
	answered := make(chan error, 2)
	go func() {
		_, err := server.Publish(&wire.PublishRequest{Id: "p", Number: 1, Document: []byte("{}")})
		answered <- err
	}()
	go func() {
		_, err := server.Configuration()
		answered <- err
	}()
	for range 2 {
		select {
		case err := <-answered:
			is.True(err != nil)
		case <-time.After(30 * time.Second):
			t.Fatal("a call is not answered")
		}
	}
}
