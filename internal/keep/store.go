// Package keep stores dead letters in the sender's state folder, in a bbolt file that is bounded in size and age, and resends them.
// Package kept decides what happens to them.
package keep

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	"ravenlink/internal/kept"
)

const (
	fileName       = "kept.db"
	formatVersion  = "1"             // of the file; a file with another version is not modified
	lockTimeout    = 2 * time.Second // wait for another process to release the file
	recordOverhead = 64              // bytes stored per record besides its JSON
	pageSize       = 1000            // records read in one transaction of Page
)

var (
	metaBucket    = []byte("meta")
	recordsBucket = []byte("records") // by id
	ageBucket     = []byte("age")     // from time of storage and id to the bytes counted
	formatKey     = []byte("form")
	bytesKey      = []byte("bytes")
	evictedKey    = []byte("gave way")
)

// Errors that callers distinguish.
var (
	ErrInUse    = errors.New("kept messages: the file is in use by a running sender")
	ErrNotFound = errors.New("kept messages: no such message")
	ErrFull     = errors.New("kept messages: the store is full and no record can be evicted")
)

// Store is a file of dead letters.
type Store struct {
	path     string
	maxBytes int64 // bytes of records; 0 for no limit
	maxAge   int64 // in µs; older records are evicted; 0 for no limit

	mu     sync.RWMutex // guards db, which a purge replaces; held during file I/O, as the lock of bbolt is
	db     *bbolt.DB
	fenced func(*kept.Record) bool // whether a record is older than a purge; nil: none is
}

// Open opens the store in a folder, and creates it if there is none.
func Open(dir string, maxBytes, maxAge int64) (*Store, error) {
	path := filepath.Join(dir, fileName)
	if err := os.Remove(path + newFileSuffix); err != nil && !os.IsNotExist(err) { // left behind by a crash during a purge
		return nil, fmt.Errorf("kept messages: %w", err)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, ErrInUse
	}
	if err != nil {
		return nil, fmt.Errorf("kept messages: %s: %w", path, err)
	}
	s := &Store{path: path, db: db, maxBytes: maxBytes, maxAge: maxAge}
	if err := db.Update(s.initialize); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("kept messages: %s: %w", path, err)
	}
	return s, nil
}

// Exists reports whether a folder has a store.
func Exists(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, fileName))
	return err == nil
}

func (s *Store) initialize(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	if found := meta.Get(formatKey); found != nil && string(found) != formatVersion {
		return fmt.Errorf("the file has form %s, only form %s is supported", found, formatVersion)
	}
	for _, name := range [][]byte{recordsBucket, ageBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return meta.Put(formatKey, []byte(formatVersion))
}

// Close closes the file.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.db.Close(); err != nil {
		return fmt.Errorf("kept messages: %w", err)
	}
	return nil
}

// Add stores records in one transaction that is on disk when it returns. A record that is there already only takes over legs proven never to
// have run, so that an end reported again after a crash is not stored twice. It returns how many old records were evicted.
func (s *Store) Add(records []*kept.Record, now int64) (evicted int, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		evicted = 0
		for _, r := range records {
			if s.fenced != nil && s.fenced(r) {
				continue
			}
			if tx.Bucket(recordsBucket).Get([]byte(r.ID)) != nil {
				if err := s.mergeProof(tx, r); err != nil {
					return err
				}
				continue
			}
			text, err := json.Marshal(r)
			if err != nil {
				return err
			}
			n, err := s.makeRoom(tx, int64(len(text)+recordOverhead), now)
			if err != nil {
				return err
			}
			evicted += n
			if err := s.put(tx, r, text); err != nil {
				return err
			}
		}
		return nil
	})
	return evicted, wrapError(err)
}

// mergeProof adds to a stored record the proof that a crash kept from being stored. The state stays: an operator may have changed it since.
func (s *Store) mergeProof(tx *bbolt.Tx, repeated *kept.Record) error {
	r, err := get(tx, repeated.ID)
	if err != nil || !r.MarkNeverRan(repeated.Legs) {
		return err
	}
	return s.saveRecord(tx, r)
}

func (s *Store) saveRecord(tx *bbolt.Tx, r *kept.Record) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.put(tx, r, text)
}

func wrapError(err error) error {
	if err == nil || errors.Is(err, ErrFull) || errors.Is(err, ErrNotFound) {
		return err
	}
	return fmt.Errorf("kept messages: %w", err)
}

func ageKey(r *kept.Record) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(r.StoredAt)), r.ID...)
}

func readCounter(b *bbolt.Bucket, key []byte) int64 {
	if v := b.Get(key); len(v) == 8 {
		return int64(binary.BigEndian.Uint64(v))
	}
	return 0
}

func addToCounter(b *bbolt.Bucket, key []byte, n int64) error {
	return b.Put(key, binary.BigEndian.AppendUint64(nil, uint64(readCounter(b, key)+n)))
}

// put writes a record and replaces an earlier version of it.
func (s *Store) put(tx *bbolt.Tx, r *kept.Record, text []byte) error {
	size := int64(len(text) + recordOverhead)
	oldSize := readCounter(tx.Bucket(ageBucket), ageKey(r))
	if err := tx.Bucket(recordsBucket).Put([]byte(r.ID), text); err != nil {
		return err
	}
	if err := tx.Bucket(ageBucket).Put(ageKey(r), binary.BigEndian.AppendUint64(nil, uint64(size))); err != nil {
		return err
	}
	return addToCounter(tx.Bucket(metaBucket), bytesKey, size-oldSize)
}

// evictable reports whether a record may be evicted first: it is neither about to be resent nor waiting for a decision.
func evictable(r *kept.Record) bool { return r.State != kept.Resending && r.State != kept.Waiting }

// makeRoom evicts records over the maximum age, then for lack of space the oldest evictable ones, and then the oldest of all but those
// about to be resent.
func (s *Store) makeRoom(tx *bbolt.Tx, size, now int64) (evicted int, err error) {
	meta := tx.Bucket(metaBucket)
	if s.maxBytes > 0 && size > s.maxBytes {
		return 0, ErrFull
	}
	total := readCounter(meta, bytesKey) + size
	for _, allowed := range []func(*kept.Record) bool{evictable, func(r *kept.Record) bool { return r.State != kept.Resending }} {
		var evict []*kept.Record // deletion moves the cursor, so it follows the iteration
		c := tx.Bucket(ageBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			expired := s.maxAge > 0 && now-int64(binary.BigEndian.Uint64(k)) > s.maxAge
			if !expired && (s.maxBytes <= 0 || total <= s.maxBytes) {
				break
			}
			r, err := get(tx, string(k[8:]))
			if err != nil {
				return evicted, err
			}
			if allowed(r) {
				evict = append(evict, r)
				total -= int64(binary.BigEndian.Uint64(v))
			}
		}
		for _, r := range evict {
			if err := s.remove(tx, r); err != nil {
				return evicted, err
			}
		}
		if evicted += len(evict); s.maxBytes <= 0 || total <= s.maxBytes {
			return evicted, addToCounter(meta, evictedKey, int64(evicted))
		}
	}
	return evicted, ErrFull
}

func (s *Store) remove(tx *bbolt.Tx, r *kept.Record) error {
	size := readCounter(tx.Bucket(ageBucket), ageKey(r))
	if err := tx.Bucket(ageBucket).Delete(ageKey(r)); err != nil {
		return err
	}
	if err := tx.Bucket(recordsBucket).Delete([]byte(r.ID)); err != nil {
		return err
	}
	return addToCounter(tx.Bucket(metaBucket), bytesKey, -size)
}

func get(tx *bbolt.Tx, id string) (*kept.Record, error) {
	text := tx.Bucket(recordsBucket).Get([]byte(id))
	if text == nil {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, id)
	}
	r := &kept.Record{}
	return r, json.Unmarshal(text, r)
}

func (s *Store) update(f func(tx *bbolt.Tx) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.db.Update(f)
}

func (s *Store) view(f func(tx *bbolt.Tx) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.db.View(f)
}

// Get returns a record.
func (s *Store) Get(id string) (r *kept.Record, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		r, err = get(tx, id)
		return err
	})
	return r, wrapError(err)
}

// Update changes a record in a transaction that is on disk when it returns. If change fails, the record stays as it was.
func (s *Store) Update(id string, change func(*kept.Record) error) error {
	return wrapError(s.update(func(tx *bbolt.Tx) error {
		r, err := get(tx, id)
		if err != nil {
			return err
		}
		if err := change(r); err != nil {
			return err
		}
		return s.saveRecord(tx, r)
	}))
}

// Drop deletes a record permanently.
func (s *Store) Drop(id string) error {
	return wrapError(s.update(func(tx *bbolt.Tx) error {
		r, err := get(tx, id)
		if err != nil {
			return err
		}
		return s.remove(tx, r)
	}))
}

// Page returns the records that want accepts, in order of storage. Each call reads at most pageSize records, so that a long list does not
// block writers, and returns the position to continue from, or nil at the end.
func (s *Store) Page(from []byte, want func(*kept.Record) bool) (rs []*kept.Record, next []byte, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		c := tx.Bucket(ageBucket).Cursor()
		k, _ := c.First()
		if len(from) > 0 {
			k, _ = c.Seek(from)
		}
		for n := 0; k != nil; k, _ = c.Next() {
			if n++; n > pageSize {
				next = append([]byte(nil), k...)
				return nil
			}
			r, err := get(tx, string(k[8:]))
			if err != nil {
				return err
			}
			if want == nil || want(r) {
				rs = append(rs, r)
			}
		}
		return nil
	})
	return rs, next, wrapError(err)
}

// Stats describes the contents of a store.
type Stats struct {
	Records int   `json:"records"`
	Bytes   int64 `json:"bytes"`
	Evicted int64 `json:"gave_way"` // since the store was created
}

// Stats returns the size of the store and its evictions.
func (s *Store) Stats() (st Stats, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		st = Stats{tx.Bucket(ageBucket).Stats().KeyN, readCounter(meta, bytesKey), readCounter(meta, evictedKey)}
		return nil
	})
	return st, wrapError(err)
}
