// Package fleetlog stores the state of the fleet that must survive a restart, in the state folder: the folder's ID, how
// often it was started, epochs, and records of the decision modules, whose contents it does not interpret. It is one
// bbolt file of bounded size.
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
	fileName      = "fleet.db"
	newName       = "fleet.db.new" // being written; ignored when the log is opened
	oldName       = "fleet.db.old" // the replaced file, which is still to be overwritten
	formatVersion = "1"            // format of the file; a file of another format is left alone
	lockTimeout   = 2 * time.Second
	allocBytes    = 16 << 10 // allocation step of the file; bbolt's default of 16 MB exceeds the disk limit of some folders

	// MinBytes is the least bound that leaves room for records.
	MinBytes       = 192 << 10
	emptyFileBytes = 48 << 10 // size of a file without records, and of the growth of one transaction
	recordShare    = 4        // fraction (1/n) of the limit usable for records, so that two files fit while one replaces the other
	compactShare   = 2        // the file is compacted once it exceeds this fraction (1/n) of the limit

	maxValueBytes  = 32 << 10 // of a record's value
	maxKeyBytes    = 512
	largeRecord    = 1 << 10 // few of these fit on a page, so larger records count double
	recordOverhead = 64      // bytes of a record besides key and value
)

// Bucket separates the records of one module from the others.
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
	formatKey      = []byte("form")
	folderKey      = []byte("folder")
	incarnationKey = []byte("incarnation")
)

// Errors that callers distinguish.
var (
	ErrFormat   = errors.New("fleet log: the file is of another form")
	ErrCorrupt  = errors.New("fleet log: the file cannot be read")
	ErrFull     = errors.New("fleet log: the record limit is reached")
	ErrTooLarge = errors.New("fleet log: key or value of a record is empty or too large")
)

// Log is the log of one sender. Its methods are safe for concurrent use; none may be called with a decision module's
// mutex held.
type Log struct {
	dir      string
	maxBytes int64

	mu        sync.RWMutex // write-locked while the file is replaced; no other mutex is locked under it
	db        *bbolt.DB
	liveBytes int64 // size of all records as computed by cost; changed in write only
}

// Open opens the log of a folder or creates it. The notes name records that were dropped because they were corrupt.
// After an error nothing was changed, and the sender runs without the fleet.
func Open(dir string, maxBytes int64) (l *Log, notes []string, err error) {
	if maxBytes < MinBytes {
		return nil, nil, fmt.Errorf("fleet log: limit of %d bytes is below the minimum of %d", maxBytes, int64(MinBytes))
	}
	l = &Log{dir: dir, maxBytes: maxBytes}
	if err := l.removeLeftovers(); err != nil {
		return nil, nil, err
	}
	var file *os.File // closed here where bbolt does not
	done := make(chan struct{})
	go func() { // a separate goroutine, because a fault while reading a corrupt mapped file ends the goroutine
		defer close(done)
		defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
		defer func() {
			if fault := recover(); fault != nil {
				err = fmt.Errorf("%w: %v", ErrCorrupt, fault)
				l.db = nil                                         // bbolt may hold its own locks, so closing it could block forever
				_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN) // the mapping keeps the lock after Close
				_ = file.Close()
			}
		}()
		notes, err = l.load(&file)
	}()
	<-done
	if err != nil {
		return nil, nil, errors.Join(err, l.Close())
	}
	return l, notes, nil
}

// removeLeftovers overwrites and removes files that an interrupted replacement of an earlier process left behind.
func (l *Log) removeLeftovers() error {
	for _, name := range []string{newName, oldName} {
		if err := overwriteAndRemove(l.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("fleet log: %w", err)
		}
	}
	return nil
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

func openFile(path string, file **os.File) (*bbolt.DB, error) {
	if info, err := os.Stat(path); err == nil && info.Size() == 0 {
		if err := os.Remove(path); err != nil { // created but never written to
			return nil, err
		}
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, NoSync: true,
		OpenFile: func(name string, flag int, mode os.FileMode) (f *os.File, err error) {
			f, err = os.OpenFile(name, flag, mode)
			*file = f
			return f, err
		}})
	if err != nil {
		return nil, fmt.Errorf("fleet log: %s: %w", path, err)
	}
	db.AllocSize = allocBytes
	return db, nil
}

func (l *Log) load(file **os.File) (notes []string, err error) {
	if l.db, err = openFile(l.path(fileName), file); err != nil {
		return nil, err
	}
	if err := l.checkFormat(); err != nil {
		return nil, err
	}
	if err := l.db.Update(create); err != nil {
		return nil, fmt.Errorf("fleet log: %w", err)
	}
	return l.dropCorrupt()
}

// checkFormat rejects a file of another format before anything is written to it.
func (l *Log) checkFormat() error {
	return l.db.View(func(tx *bbolt.Tx) error {
		if meta := tx.Bucket(metaBucket); meta != nil {
			if found := meta.Get(formatKey); string(found) != formatVersion {
				return fmt.Errorf("%w: found %q, supported is %q", ErrFormat, found, formatVersion)
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
	var id [8]byte
	for id == [8]byte{} { // 0 means unknown
		if _, err := rand.Read(id[:]); err != nil {
			return err
		}
	}
	if err := meta.Put(folderKey, id[:]); err != nil {
		return err
	}
	return meta.Put(formatKey, []byte(formatVersion))
}

// dropCorrupt deletes records whose checksum does not match and adds up the cost of the others.
func (l *Log) dropCorrupt() (notes []string, err error) {
	err = l.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range buckets {
			b := tx.Bucket([]byte(name))
			var corrupt [][]byte
			c := b.Cursor()
			for k, v := c.First(); k != nil; k, v = c.Next() {
				if _, valid := decode(name, k, v); !valid {
					corrupt = append(corrupt, append([]byte(nil), k...))
					notes = append(notes, fmt.Sprintf("record %q of %s is not whole and was cut", k, name))
					continue
				}
				l.liveBytes += cost(k, v)
			}
			for _, k := range corrupt {
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
	return notes, nil
}

// Identity identifies the folder and the number of its current start.
type Identity struct {
	Folder      uint64 // random, assigned once when the log is created; never 0
	Incarnation uint64 // 1 for the first start
}

// Start increments the incarnation and syncs it to disk before it returns. It must be called once, before anything is
// sent.
func (l *Log) Start() (id Identity, err error) {
	err = l.write(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		id = Identity{decodeUint64(meta.Get(folderKey)), decodeUint64(meta.Get(incarnationKey)) + 1}
		return meta.Put(incarnationKey, binary.BigEndian.AppendUint64(nil, id.Incarnation))
	})
	if err == nil {
		err = l.Sync()
	}
	return id, err
}

func decodeUint64(v []byte) uint64 {
	if len(v) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(v)
}

// Epoch returns the number last set for a name, or 0.
func (l *Log) Epoch(name string) (n uint64, err error) {
	err = l.read(func(tx *bbolt.Tx) error {
		n = decodeUint64(tx.Bucket(epochsBucket).Get([]byte(name)))
		return nil
	})
	return n, err
}

// SetEpoch stores a number for a name. The stored number never decreases.
func (l *Log) SetEpoch(name string, n uint64) error {
	return l.write(func(tx *bbolt.Tx) error {
		b := tx.Bucket(epochsBucket)
		if decodeUint64(b.Get([]byte(name))) >= n {
			return nil
		}
		return b.Put([]byte(name), binary.BigEndian.AppendUint64(nil, n))
	})
}

// Sync flushes all writes to disk, so that they survive a crash of the machine. Unsynced writes survive only a crash of
// the process.
func (l *Log) Sync() error {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return wrapError(l.db.Sync())
}

// Close syncs and closes the file.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.db == nil {
		return nil
	}
	return wrapError(errors.Join(l.db.Sync(), l.db.Close()))
}

func wrapError(err error) error {
	if err == nil || errors.Is(err, ErrFull) || errors.Is(err, ErrTooLarge) {
		return err
	}
	return fmt.Errorf("fleet log: %w", err)
}

// RaiseIncarnation raises the stored incarnation, where the fleet knows of later starts than this folder does.
func (l *Log) RaiseIncarnation(incarnation uint64) error {
	return l.write(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if decodeUint64(meta.Get(incarnationKey)) >= incarnation {
			return nil
		}
		return meta.Put(incarnationKey, binary.BigEndian.AppendUint64(nil, incarnation))
	})
}
