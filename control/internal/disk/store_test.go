package disk_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/control/internal/disk"
	"trefoilcourse/coord/raft"
	"trefoilcourse/wire"
)

func entries(from, to, term uint64) []*wire.LogEntry {
	var list []*wire.LogEntry
	for i := from; i <= to; i++ {
		list = append(list, &wire.LogEntry{Index: i, Term: term, Data: []byte("an entry of the log")})
	}
	return list
}

func filled(t *testing.T, folder string) {
	is := is.New(t)
	s, err := disk.Open(folder)
	is.NoErr(err)
	is.NoErr(s.Bootstrap(&wire.Membership{Members: []*wire.ControlMember{{Vm: "c1", Incarnation: s.Incarnation(), Voter: true}}}))
	is.NoErr(s.Save(&raft.Effects{TermAndVote: &wire.HardState{Term: 3, Vote: "c1/x"}, Entries: entries(1, 20, 2)}))
	is.NoErr(s.Save(&raft.Effects{TruncateFrom: 15, Entries: entries(15, 16, 3)}))
	is.NoErr(s.Close())
}

func TestReadBack(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	filled(t, folder)
	s, err := disk.Open(folder)
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	stored, err := s.Load()
	is.NoErr(err)
	is.True(stored.Snapshot != nil)
	is.Equal(stored.TermAndVote.GetVote(), "c1/x")
	is.Equal(len(stored.Entries), 16)
	is.Equal(stored.Entries[15].GetTerm(), uint64(3))
	is.NoErr(s.Save(&raft.Effects{Snapshot: &wire.LogSnapshot{Index: 16, Term: 3, State: []byte("state")}, Entries: entries(17, 18, 3)}))
	stored, err = s.Load()
	is.NoErr(err)
	is.Equal(stored.Snapshot.GetIndex(), uint64(16))
	is.Equal(len(stored.Entries), 2)
}

// TestOpenWritesNothing guards against a VM that cannot start while its disk is full although its folder has
// all that it needs.
func TestOpenWritesNothing(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	filled(t, folder)
	path := filepath.Join(folder, "agreement.db")
	before, err := os.ReadFile(path)
	is.NoErr(err)
	store, err := disk.Open(folder)
	is.NoErr(err)
	is.NoErr(store.Close())
	after, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(bytes.Equal(before, after))
}

func TestOneProcess(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s, err := disk.Open(folder)
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	_, err = disk.Open(folder)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "in use by another process"))
}

func TestWipedFolderIsAnother(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s, err := disk.Open(folder)
	is.NoErr(err)
	first := s.Incarnation()
	is.NoErr(s.Close())
	is.NoErr(os.RemoveAll(folder))
	s, err = disk.Open(folder)
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	is.True(s.Incarnation() != first)
	stored, err := s.Load()
	is.NoErr(err)
	is.True(stored.Snapshot == nil)
}

// TestDamageIsFound checks that a value whose bytes changed on the disk fails its checksum.
func TestDamageIsFound(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	filled(t, folder)
	path := filepath.Join(folder, "agreement.db")
	data, err := os.ReadFile(path)
	is.NoErr(err)
	damaged := bytes.ReplaceAll(data, []byte("an entry of the log"), []byte("an entry of the dog"))
	is.True(!bytes.Equal(data, damaged))
	is.NoErr(os.WriteFile(path, damaged, 0o600))
	s, err := disk.Open(folder)
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	_, err = s.Load()
	is.True(errors.Is(err, disk.ErrChecksum))
}
