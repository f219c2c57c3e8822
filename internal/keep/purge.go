package keep

import (
	"fmt"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"

	"ravenlink/internal/kept"
)

const (
	besides     = ".new"  // the file that a purge writes beside the store's
	mostInStep  = 1 << 20 // bytes that bbolt copies in one transaction
	zerosAtOnce = 1 << 16 // bytes
)

// Fence has ends not kept from now on that are older than a purge.
func (s *Store) Fence(old func(*kept.Record) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fenced = old
}

// Purge has no byte of records that match left in the folder, nor of any that was dropped before. It drops them, writes what stays into
// a new file, puts that in the store's place and overwrites the old one with zeros. After an error, or a crash at any point, what does
// not match is as it was and a further Purge ends the work. Whoever uses the store meanwhile waits.
func (s *Store) Purge(match func(*kept.Record) bool) (dropped int, rewritten int64, err error) {
	for from, first := []byte(nil), true; first || from != nil; first = false {
		rs, next, err := s.Page(from, match)
		if err != nil {
			return dropped, 0, err
		}
		if err := s.dropAll(rs); err != nil {
			return dropped, 0, err
		}
		dropped += len(rs)
		from = next
	}
	rewritten, err = s.rewrite()
	return dropped, rewritten, wrap(err)
}

func (s *Store) dropAll(rs []*kept.Record) error {
	if len(rs) == 0 {
		return nil
	}
	return wrap(s.update(func(tx *bbolt.Tx) error {
		for _, r := range rs {
			if now, err := get(tx, r.ID); err != nil || now.KeptAt != r.KeptAt {
				continue // gone meanwhile
			}
			if err := s.drop(tx, r); err != nil {
				return err
			}
		}
		return nil
	}))
}

// rewrite copies what is there into a new file, without the free pages and what they still hold. The new file is open and locked before
// it takes the name, so no other process can come between.
func (s *Store) rewrite() (size int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to, err := bbolt.Open(s.path+besides, 0o600, &bbolt.Options{Timeout: lockFor, FreelistType: bbolt.FreelistMapType, NoSync: true})
	if err != nil {
		return 0, err
	}
	defer func() {
		if err != nil {
			_ = to.Close()
			_ = os.Remove(s.path + besides)
		}
	}()
	if err = bbolt.Compact(to, s.db, mostInStep); err != nil {
		return 0, err
	}
	if err = to.Sync(); err != nil {
		return 0, err
	}
	to.NoSync = false
	old, err := os.OpenFile(s.path, os.O_WRONLY, 0)
	if err != nil {
		return 0, err
	}
	defer func() { _ = old.Close() }()
	if err = os.Rename(s.path+besides, s.path); err != nil {
		return 0, err
	}
	before := s.db
	s.db = to
	_ = before.Close() // the new file is in force: what follows is about the old one alone
	if fault := overwrite(old); fault != nil {
		return 0, fmt.Errorf("old file not overwritten: %w", fault)
	}
	info, fault := os.Stat(s.path)
	if fault != nil {
		return 0, fault
	}
	return info.Size(), syncDir(filepath.Dir(s.path))
}

// overwrite puts zeros over a file that has no name any more, for those who could still read its blocks.
func overwrite(f *os.File) error {
	info, err := f.Stat()
	if err != nil {
		return err
	}
	zeros := make([]byte, zerosAtOnce)
	for left := info.Size(); left > 0; left -= zerosAtOnce {
		if _, err := f.Write(zeros[:min(left, zerosAtOnce)]); err != nil {
			return err
		}
	}
	return f.Sync()
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// Holds reads the file back and counts the records that match.
func (s *Store) Holds(match func(*kept.Record) bool) (n int, err error) {
	for from, first := []byte(nil), true; first || from != nil; first = false {
		rs, next, err := s.Page(from, match)
		if err != nil {
			return n, err
		}
		n += len(rs)
		from = next
	}
	return n, nil
}
