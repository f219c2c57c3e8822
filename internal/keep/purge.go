package keep

import (
	"fmt"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"

	"ravenlink/internal/kept"
)

const (
	newFileSuffix  = ".new"  // temporary file that replaces the store's file in a purge
	compactTxBytes = 1 << 20 // bytes that bbolt copies per transaction
	zeroChunk      = 1 << 16 // bytes per write
)

// Fence sets which records are older than a purge. Add rejects them from now on.
func (s *Store) Fence(old func(*kept.Record) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fenced = old
}

// Purge erases every byte of the matching records, and of any record deleted earlier, from the folder. It deletes the records, copies the
// rest to a new file, replaces the store's file with it and overwrites the old file with zeros. After an error or a crash at any point the other
// records are unchanged, and another Purge completes the work. Other calls wait meanwhile.
func (s *Store) Purge(match func(*kept.Record) bool) (dropped int, rewritten int64, err error) {
	for from, first := []byte(nil), true; first || from != nil; first = false {
		rs, next, err := s.Page(from, match)
		if err != nil {
			return dropped, 0, err
		}
		if err := s.deleteAll(rs); err != nil {
			return dropped, 0, err
		}
		dropped += len(rs)
		from = next
	}
	rewritten, err = s.compact()
	return dropped, rewritten, wrapError(err)
}

func (s *Store) deleteAll(rs []*kept.Record) error {
	if len(rs) == 0 {
		return nil
	}
	return wrapError(s.update(func(tx *bbolt.Tx) error {
		for _, r := range rs {
			if current, err := get(tx, r.ID); err != nil || current.StoredAt != r.StoredAt {
				continue // deleted or replaced meanwhile
			}
			if err := s.remove(tx, r); err != nil {
				return err
			}
		}
		return nil
	}))
}

// compact copies the records to a new file without the free pages and their contents. The new file is open and locked before it is renamed,
// so that no other process can open it in between.
func (s *Store) compact() (size int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newDB, err := bbolt.Open(s.path+newFileSuffix, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, NoSync: true})
	if err != nil {
		return 0, err
	}
	defer func() {
		if err != nil {
			_ = newDB.Close()
			_ = os.Remove(s.path + newFileSuffix)
		}
	}()
	if err = bbolt.Compact(newDB, s.db, compactTxBytes); err != nil {
		return 0, err
	}
	if err = newDB.Sync(); err != nil {
		return 0, err
	}
	newDB.NoSync = false
	oldFile, err := os.OpenFile(s.path, os.O_WRONLY, 0)
	if err != nil {
		return 0, err
	}
	defer func() { _ = oldFile.Close() }()
	if err = os.Rename(s.path+newFileSuffix, s.path); err != nil {
		return 0, err
	}
	oldDB := s.db
	s.db = newDB
	_ = oldDB.Close() // the new file is in use: the remaining steps concern the old one only
	if fault := zeroFill(oldFile); fault != nil {
		return 0, fmt.Errorf("overwriting the old file: %w", fault)
	}
	info, fault := os.Stat(s.path)
	if fault != nil {
		return 0, fault
	}
	return info.Size(), syncDir(filepath.Dir(s.path))
}

// zeroFill overwrites a file that is already unlinked, for the case that its blocks can still be read.
func zeroFill(f *os.File) error {
	info, err := f.Stat()
	if err != nil {
		return err
	}
	zeros := make([]byte, zeroChunk)
	for left := info.Size(); left > 0; left -= zeroChunk {
		if _, err := f.Write(zeros[:min(left, zeroChunk)]); err != nil {
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

// CountMatching reads the file back and counts the matching records.
func (s *Store) CountMatching(match func(*kept.Record) bool) (n int, err error) {
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
