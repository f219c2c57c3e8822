// Package keep is the store of kept messages in the folder that outlasts the process: a bbolt file, bounded in bytes and age.
// What is decided about them is in internal/kept.
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
	fileName    = "kept.db"
	form        = "1"             // of the file; a file of another form is left alone
	lockFor     = 2 * time.Second // to wait for another process to let go of the file
	recordExtra = 64              // bytes that a record takes beside its own
	mostPage    = 1000            // records of one page of a list
)

var (
	metaBucket    = []byte("meta")
	recordsBucket = []byte("records") // by id
	ageBucket     = []byte("age")     // when kept and id, to the bytes it takes
	formKey       = []byte("form")
	bytesKey      = []byte("bytes")
	gaveWayKey    = []byte("gave way")
)

// The faults that callers tell apart.
var (
	ErrBusy    = errors.New("kept messages: the file is in use by a running sender")
	ErrUnknown = errors.New("kept messages: no such message")
	ErrFull    = errors.New("kept messages: no room, and nothing that may give way")
)

// Store keeps records.
type Store struct {
	path string
	most int64 // bytes of records; 0 for no bound
	age  int64 // µs after which a record gives way; 0 for none

	mu     sync.RWMutex // for db, which a purge puts another file in the place of; held over the file's own I/O, as bbolt's lock is
	db     *bbolt.DB
	fenced func(*kept.Record) bool // older than a purge; nil: none is
}

// Open opens the store of a folder, or begins it.
func Open(dir string, most, age int64) (*Store, error) {
	path := filepath.Join(dir, fileName)
	if err := os.Remove(path + besides); err != nil && !os.IsNotExist(err) { // of a purge that a crash cut short
		return nil, fmt.Errorf("kept messages: %w", err)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockFor, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, ErrBusy
	}
	if err != nil {
		return nil, fmt.Errorf("kept messages: %s: %w", path, err)
	}
	s := &Store{path: path, db: db, most: most, age: age}
	if err := db.Update(s.begin); err != nil {
		_ = db.Close()
		return nil, fmt.Errorf("kept messages: %s: %w", path, err)
	}
	return s, nil
}

// Exists tells whether a folder has a store.
func Exists(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, fileName))
	return err == nil
}

func (s *Store) begin(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	if is := meta.Get(formKey); is != nil && string(is) != form {
		return fmt.Errorf("it is of form %s, this is %s", is, form)
	}
	for _, name := range [][]byte{recordsBucket, ageBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return meta.Put(formKey, []byte(form))
}

// Close lets go of the file.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.db.Close(); err != nil {
		return fmt.Errorf("kept messages: %w", err)
	}
	return nil
}

// Keep writes records down in one step, on disk when it returns. One that is there already stays as it is but for legs that surely never
// ran, so that the same end told again after a crash is no second record. Old ones give way for want of room; how many is told.
func (s *Store) Keep(records []*kept.Record, now int64) (gaveWay int, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		gaveWay = 0
		for _, r := range records {
			if s.fenced != nil && s.fenced(r) {
				continue
			}
			if tx.Bucket(recordsBucket).Get([]byte(r.ID)) != nil {
				if err := s.proveAgain(tx, r); err != nil {
					return err
				}
				continue
			}
			text, err := json.Marshal(r)
			if err != nil {
				return err
			}
			n, err := s.makeRoom(tx, int64(len(text)+recordExtra), now)
			if err != nil {
				return err
			}
			gaveWay += n
			if err := s.put(tx, r, text); err != nil {
				return err
			}
		}
		return nil
	})
	return gaveWay, wrap(err)
}

// proveAgain adds to a record that is there already what a crash came before. Its state stays: a person may have changed it since.
func (s *Store) proveAgain(tx *bbolt.Tx, again *kept.Record) error {
	r, err := get(tx, again.ID)
	if err != nil {
		return err
	}
	changed := r.Prove(again.Legs)
	if r.Generation == 0 && again.Generation == 0 && r.Taken > 0 && again.Taken > 0 && r.Taken != again.Taken { // not the same hand-in
		r.ClientMayRepeat = r.MayComeAgain()
		r.Join(again)
		changed = true
	}
	if !changed {
		return nil
	}
	return s.rewriteRecord(tx, r)
}

func (s *Store) rewriteRecord(tx *bbolt.Tx, r *kept.Record) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.put(tx, r, text)
}

func wrap(err error) error {
	if err == nil || errors.Is(err, ErrFull) || errors.Is(err, ErrUnknown) {
		return err
	}
	return fmt.Errorf("kept messages: %w", err)
}

func ageKey(r *kept.Record) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(r.KeptAt)), r.ID...)
}

func number(b *bbolt.Bucket, key []byte) int64 {
	if v := b.Get(key); len(v) == 8 {
		return int64(binary.BigEndian.Uint64(v))
	}
	return 0
}

func add(b *bbolt.Bucket, key []byte, n int64) error {
	return b.Put(key, binary.BigEndian.AppendUint64(nil, uint64(number(b, key)+n)))
}

// put writes a record, in place of its older form if there is one.
func (s *Store) put(tx *bbolt.Tx, r *kept.Record, text []byte) error {
	size := int64(len(text) + recordExtra)
	old := number(tx.Bucket(ageBucket), ageKey(r))
	if err := tx.Bucket(recordsBucket).Put([]byte(r.ID), text); err != nil {
		return err
	}
	if err := tx.Bucket(ageBucket).Put(ageKey(r), binary.BigEndian.AppendUint64(nil, uint64(size))); err != nil {
		return err
	}
	return add(tx.Bucket(metaBucket), bytesKey, size-old)
}

// settled tells whether a record may give way: nothing is to be sent again for it, or nothing is known to be under way.
func settled(r *kept.Record) bool { return r.State != kept.Intended && r.State != kept.Waiting }

// makeRoom drops what is too old, and then for want of bytes the oldest that will not be sent again; if that is not enough,
// the oldest of all but those on their way.
func (s *Store) makeRoom(tx *bbolt.Tx, size, now int64) (gaveWay int, err error) {
	meta := tx.Bucket(metaBucket)
	if s.most > 0 && size > s.most {
		return 0, ErrFull
	}
	left := number(meta, bytesKey) + size
	for _, may := range []func(*kept.Record) bool{settled, func(r *kept.Record) bool { return r.State != kept.Intended }} {
		var out []*kept.Record // dropping moves a cursor, so it comes after the walk
		c := tx.Bucket(ageBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			old := s.age > 0 && now-int64(binary.BigEndian.Uint64(k)) > s.age
			if !old && (s.most <= 0 || left <= s.most) {
				break
			}
			r, err := get(tx, string(k[8:]))
			if err != nil {
				return gaveWay, err
			}
			if may(r) {
				out = append(out, r)
				left -= int64(binary.BigEndian.Uint64(v))
			}
		}
		for _, r := range out {
			if err := s.drop(tx, r); err != nil {
				return gaveWay, err
			}
		}
		if gaveWay += len(out); s.most <= 0 || left <= s.most {
			return gaveWay, add(meta, gaveWayKey, int64(gaveWay))
		}
	}
	return gaveWay, ErrFull
}

func (s *Store) drop(tx *bbolt.Tx, r *kept.Record) error {
	size := number(tx.Bucket(ageBucket), ageKey(r))
	if err := tx.Bucket(ageBucket).Delete(ageKey(r)); err != nil {
		return err
	}
	if err := tx.Bucket(recordsBucket).Delete([]byte(r.ID)); err != nil {
		return err
	}
	return add(tx.Bucket(metaBucket), bytesKey, -size)
}

func get(tx *bbolt.Tx, id string) (*kept.Record, error) {
	text := tx.Bucket(recordsBucket).Get([]byte(id))
	if text == nil {
		return nil, fmt.Errorf("%w: %s", ErrUnknown, id)
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

// Get finds a record.
func (s *Store) Get(id string) (r *kept.Record, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		r, err = get(tx, id)
		return err
	})
	return r, wrap(err)
}

// Change has a record changed and written down, on disk when it returns. An error of change leaves it as it was.
func (s *Store) Change(id string, change func(*kept.Record) error) error {
	return wrap(s.update(func(tx *bbolt.Tx) error {
		r, err := get(tx, id)
		if err != nil {
			return err
		}
		if err := change(r); err != nil {
			return err
		}
		return s.rewriteRecord(tx, r)
	}))
}

// Drop forgets a record for good.
func (s *Store) Drop(id string) error {
	return wrap(s.update(func(tx *bbolt.Tx) error {
		r, err := get(tx, id)
		if err != nil {
			return err
		}
		return s.drop(tx, r)
	}))
}

// Page lists records, those kept first first, that a filter wants. It looks at so many at most in one read of the file, so
// that a long list does not hold back writers, and gives the place to go on from, empty at the end.
func (s *Store) Page(from []byte, want func(*kept.Record) bool) (rs []*kept.Record, next []byte, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		c := tx.Bucket(ageBucket).Cursor()
		k, _ := c.First()
		if len(from) > 0 {
			k, _ = c.Seek(from)
		}
		for n := 0; k != nil; k, _ = c.Next() {
			if n++; n > mostPage {
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
	return rs, next, wrap(err)
}

// Stats is how a store stands.
type Stats struct {
	Records int   `json:"records"`
	Bytes   int64 `json:"bytes"`
	GaveWay int64 `json:"gave_way"` // since it was begun
}

// Stats counts.
func (s *Store) Stats() (st Stats, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		st = Stats{tx.Bucket(ageBucket).Stats().KeyN, number(meta, bytesKey), number(meta, gaveWayKey)}
		return nil
	})
	return st, wrap(err)
}
