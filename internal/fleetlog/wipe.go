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

// Wipe removes records and leaves none of their bytes in the folder's files: the file is rewritten without them, and
// the old one is overwritten.
func (l *Log) Wipe(b Bucket, keys ...string) error {
	ranked.AssertNoneHeld("writing to the fleet's log")
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.db.Update(func(tx *bbolt.Tx) error { return l.deleteKeys(tx, b, keys) }); err != nil {
		return wrapError(err)
	}
	return wrapError(l.compact())
}

// Size returns the file's size in bytes.
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

// compact copies the file without its free pages and replaces the old file, which it overwrites. fleet.db is complete
// at every moment: a process that dies here leaves extra files that the next Open removes.
func (l *Log) compact() error {
	to, err := openFile(l.path(newName), new(*os.File))
	if err != nil {
		return err
	}
	if err := errors.Join(bbolt.Compact(to, l.db, 0), to.Sync(), to.Close()); err != nil {
		return errors.Join(err, overwriteAndRemove(l.path(newName)))
	}
	if err := l.db.Close(); err != nil {
		return err
	}
	if err := l.replaceFile(); err != nil {
		return errors.Join(err, l.reopen())
	}
	return l.reopen()
}

func (l *Log) replaceFile() error {
	if err := os.Link(l.path(fileName), l.path(oldName)); err != nil {
		return err
	}
	if err := os.Rename(l.path(newName), l.path(fileName)); err != nil {
		return err
	}
	return overwriteAndRemove(l.path(oldName))
}

func (l *Log) reopen() (err error) {
	db, err := openFile(l.path(fileName), new(*os.File))
	if err == nil {
		l.db = db
	}
	return err
}

// overwriteAndRemove overwrites a file with zeros and removes it. A file that still has another name (after a crash
// between link and rename) is only removed.
func overwriteAndRemove(path string) error {
	if sole, err := isOnlyName(path); err != nil {
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
		_, err = io.CopyN(f, zeroReader{}, info.Size())
	}
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("overwriting %s: %w", path, err)
	}
	return os.Remove(path)
}

// zeroReader reads an endless stream of zeros.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// isOnlyName reports whether path is not a second name of the file in use, as it is after a crash between link and
// rename.
func isOnlyName(path string) (bool, error) {
	info, err := os.Lstat(path)
	if err != nil {
		return false, err
	}
	current, err := os.Lstat(filepath.Join(filepath.Dir(path), fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return true, nil
	}
	return !os.SameFile(info, current), err
}
