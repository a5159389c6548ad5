package disk

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"trefoilcourse/coord/raft"
	"trefoilcourse/wire"
)

const (
	fileName     = "agreement.db"
	fileMode     = 0o600
	folderMode   = 0o700
	lockTimeout  = time.Second
	checksumSize = 4
)

var (
	bucketLog   = []byte("log")
	bucketState = []byte("state")

	keyIncarnation = []byte("incarnation")
	keyHard        = []byte("hard-state")
	keySnapshot    = []byte("snapshot")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

var (
	// ErrChecksum means that a stored value is corrupted.
	ErrChecksum = errors.New("checksum does not match")
	// ErrNotWritable means that the disk refuses to be written, as a full one does; that can pass.
	ErrNotWritable = errors.New("disk cannot be written")
)

// Store is an open data folder.
type Store struct {
	db          *bolt.DB
	incarnation string
}

// Open opens or creates the data folder; it fails if another process has the folder open. It writes only
// to a new folder, so that a VM starts on a full disk. The error is ErrNotWritable if that failed.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, refusedWrite(err)
	}
	path := filepath.Join(folder, fileName)
	db, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("data folder %s is in use by another process", folder)
	}
	if err != nil {
		return nil, fmt.Errorf("open data folder %s: %w", folder, refusedWrite(err))
	}
	s := &Store{db: db}
	if err := s.prepare(); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("data folder %s: %w", folder, err)
	}
	return s, nil
}

// Incarnation identifies the data folder; a wiped folder gets a new one.
func (s *Store) Incarnation() string { return s.incarnation }

// Close releases the data folder.
func (s *Store) Close() error { return s.db.Close() }

// refusedWrite marks the errors of a disk that refuses to be written.
func refusedWrite(err error) error {
	for _, refusal := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO} {
		if errors.Is(err, refusal) {
			return fmt.Errorf("%w: %w", ErrNotWritable, err)
		}
	}
	return err
}

// prepare reads the incarnation, or creates what a new folder needs.
func (s *Store) prepare() error {
	err := s.db.View(func(tx *bolt.Tx) error {
		state := tx.Bucket(bucketState)
		if state == nil {
			return nil
		}
		value, err := get(state, keyIncarnation)
		s.incarnation = string(value)
		return err
	})
	if err != nil || s.incarnation != "" {
		return err
	}
	incarnation := newIncarnation()
	err = s.db.Update(func(tx *bolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(bucketLog); err != nil {
			return err
		}
		state, err := tx.CreateBucketIfNotExists(bucketState)
		if err != nil {
			return err
		}
		return put(state, keyIncarnation, incarnation)
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotWritable, err)
	}
	s.incarnation = string(incarnation)
	return nil
}

func newIncarnation() []byte {
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	return []byte(hex.EncodeToString(id))
}

// Load reads the stored state.
func (s *Store) Load() (stored raft.PersistentState, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		state := tx.Bucket(bucketState)
		hard := &wire.HardState{}
		if _, err := getMessage(state, keyHard, hard); err != nil {
			return err
		}
		stored.TermAndVote = hard
		snapshot := &wire.LogSnapshot{}
		found, err := getMessage(state, keySnapshot, snapshot)
		if err != nil {
			return err
		}
		if found {
			stored.Snapshot = snapshot
		}
		stored.Entries, err = loadEntries(tx.Bucket(bucketLog), snapshot.GetIndex())
		return err
	})
	return stored, err
}

func loadEntries(log *bolt.Bucket, after uint64) ([]*wire.LogEntry, error) {
	var entries []*wire.LogEntry
	next := after + 1
	err := log.ForEach(func(k, _ []byte) error {
		entry := &wire.LogEntry{}
		if _, err := getMessage(log, k, entry); err != nil {
			return err
		}
		if entry.GetIndex() != next {
			return fmt.Errorf("log entry %d stands where %d is expected", entry.GetIndex(), next)
		}
		next++
		entries = append(entries, entry)
		return nil
	})
	return entries, err
}

// Bootstrap saves the initial membership of a new cluster as its snapshot.
func (s *Store) Bootstrap(m *wire.Membership) error {
	return s.Save(&raft.Effects{Snapshot: &wire.LogSnapshot{Membership: m}})
}

// Save persists and syncs the effects in one transaction.
func (s *Store) Save(e *raft.Effects) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		state := tx.Bucket(bucketState)
		if e.TermAndVote != nil {
			if err := putMessage(state, keyHard, e.TermAndVote); err != nil {
				return err
			}
		}
		if e.Snapshot != nil {
			if err := saveSnapshot(tx, e.Snapshot); err != nil {
				return err
			}
		}
		log := tx.Bucket(bucketLog)
		if err := deleteFrom(log, e.TruncateFrom); err != nil {
			return err
		}
		for _, entry := range e.Entries {
			if err := putMessage(log, indexKey(entry.GetIndex()), entry); err != nil {
				return err
			}
		}
		return nil
	})
}

func saveSnapshot(tx *bolt.Tx, snapshot *wire.LogSnapshot) error {
	if err := tx.DeleteBucket(bucketLog); err != nil {
		return err
	}
	if _, err := tx.CreateBucket(bucketLog); err != nil {
		return err
	}
	return putMessage(tx.Bucket(bucketState), keySnapshot, snapshot)
}

func deleteFrom(log *bolt.Bucket, index uint64) error {
	if index == 0 {
		return nil
	}
	cursor := log.Cursor()
	for k, _ := cursor.Seek(indexKey(index)); k != nil; k, _ = cursor.Seek(indexKey(index)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

func put(b *bolt.Bucket, key, value []byte) error {
	sum := crc32.Checksum(value, castagnoli)
	return b.Put(key, append(binary.BigEndian.AppendUint32(nil, sum), value...))
}

func get(b *bolt.Bucket, key []byte) ([]byte, error) {
	stored := b.Get(key)
	if stored == nil {
		return nil, nil
	}
	if len(stored) < checksumSize {
		return nil, fmt.Errorf("value of %x is cut short: %w", key, ErrChecksum)
	}
	value := append([]byte(nil), stored[checksumSize:]...)
	if crc32.Checksum(value, castagnoli) != binary.BigEndian.Uint32(stored) {
		return nil, fmt.Errorf("value of %x: %w", key, ErrChecksum)
	}
	return value, nil
}

func putMessage(b *bolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return put(b, key, data)
}

func getMessage(b *bolt.Bucket, key []byte, m proto.Message) (bool, error) {
	data, err := get(b, key)
	if err != nil || data == nil {
		return false, err
	}
	return true, proto.Unmarshal(data, m)
}
