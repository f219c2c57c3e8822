package fleetlog

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"

	"ravenlink/internal/ranked"
)

// Wipe forgets records so that none of their bytes is left in the folder's files when it returns: the file is written anew without
// them, and the old one overwritten.
func (l *Log) Wipe(b Bucket, keys ...string) error {
	ranked.Free("writing to the fleet's log")
	if err := l.reopenClosed(); err != nil {
		return wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.live
	err := l.db.Update(func(tx *bbolt.Tx) error { return l.drop(tx, b, keys) })
	if err != nil {
		l.live = before
		return wrap(err)
	}
	l.room.otherIs(l.live.other)
	return wrap(l.compact())
}

// Size is the file's, in bytes.
func (l *Log) Size() int64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.size()
}

func (l *Log) size() int64 {
	info, err := os.Stat(l.path(fileName))
	if err != nil {
		return 0
	}
	return info.Size()
}

// inPlace tells whether the open file is the one of the folder: what is written to a file that was removed or replaced outlasts no process.
func (l *Log) inPlace() bool {
	is, err := l.file.Stat()
	if err != nil {
		return true // not known
	}
	named, err := os.Stat(l.path(fileName))
	if err != nil {
		return !errors.Is(err, fs.ErrNotExist)
	}
	return os.SameFile(is, named)
}

// compact writes the file anew without what is free in it and puts it in the old one's place, which it overwrites. At each moment
// fleet.db is whole: a process that dies here leaves further files that the next Open sweeps.
func (l *Log) compact() error {
	to, err := openFile(l.path(newName), new(*os.File))
	if err != nil {
		return err
	}
	if err := errors.Join(bbolt.Compact(to, l.db, 0), to.Sync(), to.Close()); err != nil {
		return errors.Join(err, erase(l.path(newName)))
	}
	if err := l.db.Close(); err != nil {
		return errors.Join(err, erase(l.path(newName)))
	}
	l.closed = true
	if err := l.swap(); err != nil {
		return errors.Join(err, l.reopen())
	}
	return l.reopen()
}

func (l *Log) swap() error {
	err := os.Link(l.path(fileName), l.path(oldName))
	removed := errors.Is(err, fs.ErrNotExist)
	if err != nil && !removed {
		return err
	}
	if err := os.Rename(l.path(newName), l.path(fileName)); err != nil || removed {
		return err
	}
	return erase(l.path(oldName))
}

func (l *Log) reopen() (err error) {
	var file *os.File
	db, err := openFile(l.path(fileName), &file)
	if err == nil {
		l.db, l.file, l.closed = db, file, false
	}
	return err
}

// reopenClosed opens the file where compacting had closed it and could not open it again.
func (l *Log) reopenClosed() error {
	l.mu.RLock()
	closed := l.closed
	l.mu.RUnlock()
	if !closed {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		return nil
	}
	return l.reopen()
}

// erase overwrites a file and removes it. One that has another name still (a process died between link and rename) is only removed.
func erase(path string) error {
	if sole, err := soleName(path); err != nil {
		return err
	} else if !sole {
		return os.Remove(path)
	}
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	info, err := f.Stat()
	if err == nil {
		_, err = io.CopyN(f, zeros{}, info.Size())
	}
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("overwriting %s: %w", path, err)
	}
	return os.Remove(path)
}

// zeros reads as nothing but zeros.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// soleName tells whether a file is none but what its name says: the file in force may have it as a second one.
func soleName(path string) (bool, error) {
	info, err := os.Lstat(path)
	if err != nil {
		return false, err
	}
	force, err := os.Lstat(filepath.Join(filepath.Dir(path), fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return true, nil
	}
	return !os.SameFile(info, force), err
}
