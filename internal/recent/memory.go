package recent

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"
)

// Fingerprint names a message by its id and all that its client said of it.
type Fingerprint [16]byte

const (
	newerFile   = "ended.ids"
	olderFile   = "ended-before.ids"
	recordSize  = len(Fingerprint{}) + 1 + 4 // bytes: fingerprint, outcome, CRC-32 of both
	generations = 2
)

// Memory remembers the newest ends, as many as it has room for: at least half of that, for the older half goes at once.
type Memory struct {
	most int // in one generation
	dir  string

	mu           sync.Mutex // a leaf, never held over I/O
	newer, older map[Fingerprint]Outcome

	writing sync.Mutex // for the file; mu may be taken under it
	file    *os.File   // nil after a failed write, until the next generation
	size    int64      // of whole records in it
	written int        // records of this generation
}

// Open reads what a folder remembers, for so many messages. A torn or spoilt record ends what is read of its file. With an error nothing is
// remembered beyond the process.
func Open(dir string, most int) (*Memory, error) {
	m := &Memory{most: max(1, most/generations), dir: dir, newer: map[Fingerprint]Outcome{}, older: map[Fingerprint]Outcome{}}
	_, beforeErr := m.read(olderFile, m.older)
	size, err := m.read(newerFile, m.newer)
	if err = errors.Join(beforeErr, err); err != nil {
		return m, err
	}
	m.written = len(m.newer)
	file, err := os.OpenFile(m.path(newerFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return m, fmt.Errorf("ended messages: %w", err)
	}
	if err := errors.Join(cut(file, size), seek(file, size)); err != nil {
		_ = file.Close()
		return m, fmt.Errorf("ended messages: %w", err)
	}
	m.file, m.size = file, size
	return m, nil
}

func seek(f *os.File, to int64) error {
	_, err := f.Seek(to, io.SeekStart)
	return err
}

// cut takes off what follows the whole records, if anything does.
func cut(f *os.File, size int64) error {
	if i, err := f.Stat(); err != nil || i.Size() <= size {
		return err
	}
	return f.Truncate(size)
}

func (m *Memory) path(name string) string { return filepath.Join(m.dir, name) }

// read takes in whole records up to the first that is not sound, and tells how many bytes they have.
func (m *Memory) read(name string, into map[Fingerprint]Outcome) (size int64, err error) {
	text, err := os.ReadFile(m.path(name))
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("ended messages: %w", err)
	}
	for len(text) >= recordSize && len(into) < m.most {
		print, outcome, sound := decode(text[:recordSize])
		if !sound {
			break
		}
		into[print] = outcome
		text = text[recordSize:]
		size += int64(recordSize)
	}
	return size, nil
}

func encode(print Fingerprint, outcome Outcome) []byte {
	record := append(bytes.Clone(print[:]), byte(outcome))
	return binary.LittleEndian.AppendUint32(record, crc32.ChecksumIEEE(record))
}

func decode(record []byte) (print Fingerprint, outcome Outcome, sound bool) {
	said := record[:len(print)+1]
	copy(print[:], said)
	outcome = Outcome(said[len(print)])
	sum := binary.LittleEndian.Uint32(record[len(said):])
	return print, outcome, sum == crc32.ChecksumIEEE(said) && (outcome == Delivered || outcome == Failed)
}

// Find tells how a message ended. It waits for no I/O.
func (m *Memory) Find(print Fingerprint) (Outcome, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o, is := m.newer[print]; is {
		return o, true
	}
	o, is := m.older[print]
	return o, is
}

// Remember notes how a message ended, before its id is free. With an error it is remembered in this process alone.
func (m *Memory) Remember(print Fingerprint, outcome Outcome) error {
	m.writing.Lock()
	defer m.writing.Unlock()
	if m.written >= m.most {
		m.rotate()
	}
	m.written++
	m.mu.Lock()
	m.newer[print] = outcome
	m.mu.Unlock()
	return m.write(encode(print, outcome))
}

var errNoFile = errors.New("ended messages: the file cannot be written")

func (m *Memory) write(record []byte) error {
	if m.file == nil {
		return errNoFile
	}
	if _, err := m.file.Write(record); err != nil {
		if errors.Join(m.file.Truncate(m.size), seek(m.file, m.size)) != nil { // records behind half a one would not be read
			_ = m.file.Close()
			m.file = nil
		}
		return fmt.Errorf("ended messages: %w", err)
	}
	m.size += int64(len(record))
	return nil
}

// rotate begins a generation; the one before the last is forgotten.
func (m *Memory) rotate() {
	m.mu.Lock()
	m.older, m.newer = m.newer, map[Fingerprint]Outcome{}
	m.mu.Unlock()
	m.written, m.size = 0, 0
	if m.file != nil {
		_ = m.file.Close()
		m.file = nil
	}
	if err := os.Rename(m.path(newerFile), m.path(olderFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return // the next write says so
	}
	if f, err := os.OpenFile(m.path(newerFile), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600); err == nil {
		m.file = f
	}
}

// Close lets go of the file.
func (m *Memory) Close() error {
	m.writing.Lock()
	defer m.writing.Unlock()
	if m.file == nil {
		return nil
	}
	err := m.file.Close()
	m.file = nil
	return err
}
