// Package fleetlog is what of the fleet outlasts the process, in the state folder: which folder this is, how often it was started,
// epochs, and records of the decision modules, which it does not read. One bbolt file, bounded in bytes.
package fleetlog

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
)

const (
	fileName = "fleet.db"
	newName  = "fleet.db.new" // being written; it counts for nothing
	oldName  = "fleet.db.old" // replaced, and to be overwritten
	form     = "1"            // of the file; a file of another form is left alone
	lockFor  = 2 * time.Second
	growBy   = 16 << 10 // bytes that the file grows by; bbolt's own 16 MB is more than some folders may hold

	// LeastBytes is the least bound that leaves room for records.
	LeastBytes = 192 << 10
	base       = 48 << 10 // bytes of a file without records, and of what a step grows it by
	livePart   = 4        // one byte in so many of the bound may be records, so that two files find room while one replaces the other
	filePart   = 2        // a file beyond one in so many is compacted

	mostValue = 32 << 10 // bytes of a record's value
	mostKey   = 512
	bigValue  = 1 << 10 // a page holds few of these, so that they count double
	extra     = 64      // bytes that a record takes beside key and value
)

// Bucket keeps the records of one module apart.
type Bucket string

// The buckets.
const (
	Purge    Bucket = "purge"
	Channels Bucket = "channels"
	Verdicts Bucket = "verdicts"
	Shares   Bucket = "shares"
)

var buckets = []Bucket{Purge, Channels, Verdicts, Shares}

var (
	metaBucket     = []byte("meta")
	epochsBucket   = []byte("epochs")
	formKey        = []byte("form")
	folderKey      = []byte("folder")
	incarnationKey = []byte("incarnation")
)

// The faults that callers tell apart.
var (
	ErrForm = errors.New("fleet log: the file is of another form")
	ErrTorn = errors.New("fleet log: the file cannot be read")
	ErrFull = errors.New("fleet log: no room for a further record")
	ErrSize = errors.New("fleet log: a record beyond its bound")
)

// Log is one sender's. Its methods may be called from several goroutines; none is to be called under a lock of a decision module.
type Log struct {
	dir  string
	most int64

	mu          sync.RWMutex // held to write while the file is replaced; it leads to the room's lock alone
	db          *bbolt.DB
	file        *os.File // that db has open
	closed      bool     // compacting left no file open; the next call opens it
	live        usage    // of records; changed in write and Wipe only
	uncompacted error

	room room
}

// Open opens the log of a folder, or begins it. What was cut for not being whole is told in notes. An error means that the sender does
// without the fleet; nothing was changed then.
func Open(dir string, most int64) (l *Log, notes []string, err error) {
	if most < LeastBytes {
		return nil, nil, fmt.Errorf("fleet log: %d bytes are too few; the least is %d", most, int64(LeastBytes))
	}
	l = &Log{dir: dir, most: most, room: room{most: Room(most)}}
	if err := l.sweep(); err != nil {
		return nil, nil, err
	}
	done := make(chan struct{})
	go func() { // of its own, for what a torn file does to reads ends a goroutine
		defer close(done)
		defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
		defer func() {
			if fault := recover(); fault != nil {
				err = fmt.Errorf("%w: %v", ErrTorn, fault)
				l.db = nil                                           // it may hold locks of its own, so that closing it would wait for ever
				_ = syscall.Flock(int(l.file.Fd()), syscall.LOCK_UN) // what is mapped keeps the lock beyond Close
				_ = l.file.Close()
			}
		}()
		notes, err = l.begin()
	}()
	<-done
	if err != nil {
		return nil, nil, errors.Join(err, l.Close())
	}
	return l, notes, nil
}

// sweep overwrites and removes what an earlier process left of replacing the file.
func (l *Log) sweep() error {
	for _, name := range []string{newName, oldName} {
		if err := erase(l.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("fleet log: %w", err)
		}
	}
	return nil
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

func openFile(path string, file **os.File) (*bbolt.DB, error) {
	if info, err := os.Stat(path); err == nil && info.Size() == 0 {
		if err := os.Remove(path); err != nil { // begun, and never written to
			return nil, err
		}
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockFor, FreelistType: bbolt.FreelistMapType, NoSync: true,
		OpenFile: func(name string, flag int, mode os.FileMode) (f *os.File, err error) {
			f, err = os.OpenFile(name, flag, mode)
			*file = f
			return f, err
		}})
	if err != nil {
		return nil, fmt.Errorf("fleet log: %s: %w", path, err)
	}
	db.AllocSize = growBy
	return db, nil
}

func (l *Log) begin() (notes []string, err error) {
	if l.db, err = openFile(l.path(fileName), &l.file); err != nil {
		return nil, err
	}
	if err := l.known(); err != nil {
		return nil, err
	}
	if err := l.db.Update(create); err != nil {
		return nil, fmt.Errorf("fleet log: %w", err)
	}
	return l.cut()
}

// known refuses a file of another form before anything is written to it.
func (l *Log) known() error {
	return l.db.View(func(tx *bbolt.Tx) error {
		if meta := tx.Bucket(metaBucket); meta != nil {
			if is := meta.Get(formKey); string(is) != form {
				return fmt.Errorf("%w: %q, this is %q", ErrForm, is, form)
			}
		}
		return nil
	})
}

func create(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucketIfNotExists(epochsBucket); err != nil {
		return err
	}
	for _, b := range buckets {
		if _, err := tx.CreateBucketIfNotExists([]byte(b)); err != nil {
			return err
		}
	}
	if meta.Get(folderKey) != nil {
		return nil
	}
	var drawn [8]byte
	for drawn == [8]byte{} { // 0 stands for not known
		if _, err := rand.Read(drawn[:]); err != nil {
			return err
		}
	}
	if err := meta.Put(folderKey, drawn[:]); err != nil {
		return err
	}
	return meta.Put(formKey, []byte(form))
}

// cut drops records that are not whole, and counts the rest.
func (l *Log) cut() (notes []string, err error) {
	err = l.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range buckets {
			b := tx.Bucket([]byte(name))
			var torn [][]byte
			c := b.Cursor()
			for k, v := c.First(); k != nil; k, v = c.Next() {
				if _, whole := unseal(name, k, v); !whole {
					torn = append(torn, append([]byte(nil), k...))
					notes = append(notes, fmt.Sprintf("record %q of %s is not whole and was cut", k, name))
					continue
				}
				l.live.add(name, cost(k, v))
			}
			for _, k := range torn {
				if err := b.Delete(k); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err != nil {
		return notes, fmt.Errorf("fleet log: %w", err)
	}
	l.room.otherIs(l.live.other)
	return notes, nil
}

// Identity says which folder this is and which start of it.
type Identity struct {
	Folder      uint64 // drawn at random once, with the folder; never 0
	Incarnation uint64 // 1 for the first start
}

// Start counts a start, on disk when it returns. It comes once, before anything is sent.
func (l *Log) Start() (id Identity, err error) {
	err = l.write(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		id = Identity{number(meta.Get(folderKey)), number(meta.Get(incarnationKey)) + 1}
		return meta.Put(incarnationKey, binary.BigEndian.AppendUint64(nil, id.Incarnation))
	})
	if err == nil {
		err = l.Sync()
	}
	return id, err
}

func number(v []byte) uint64 {
	if len(v) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(v)
}

// Epoch gives a number last set under a name, 0 for none.
func (l *Log) Epoch(name string) (n uint64, err error) {
	err = l.read(func(tx *bbolt.Tx) error {
		n = number(tx.Bucket(epochsBucket).Get([]byte(name)))
		return nil
	})
	return n, err
}

// SetEpoch has a number outlast the process. A name's number never falls.
func (l *Log) SetEpoch(name string, n uint64) error {
	return l.write(func(tx *bbolt.Tx) error {
		b := tx.Bucket(epochsBucket)
		if number(b.Get([]byte(name))) >= n {
			return nil
		}
		return b.Put([]byte(name), binary.BigEndian.AppendUint64(nil, n))
	})
}

// Sync has all that was written outlast the machine. Without it, what was written outlasts the process.
func (l *Log) Sync() error {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return wrap(l.db.Sync())
}

// Close lets go of the file.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.db == nil {
		return nil
	}
	return wrap(errors.Join(l.db.Sync(), l.db.Close()))
}

func wrap(err error) error {
	if err == nil || errors.Is(err, ErrFull) || errors.Is(err, ErrSize) {
		return err
	}
	return fmt.Errorf("fleet log: %w", err)
}

// Raise has later starts count on from a number, where the fleet knows of later starts than this folder does.
func (l *Log) Raise(incarnation uint64) error {
	return l.write(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if number(meta.Get(incarnationKey)) >= incarnation {
			return nil
		}
		return meta.Put(incarnationKey, binary.BigEndian.AppendUint64(nil, incarnation))
	})
}
