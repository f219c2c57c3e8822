package fleetlog

import (
	"encoding/binary"
	"hash/crc32"

	"go.etcd.io/bbolt"

	"ravenlink/internal/ranked"
)

const headerBytes = 6 // length of the header before a value: version and checksum

// Record is one record of a module. Version is the format of the value; the module that owns the record must reject
// versions it does not know.
type Record struct {
	Bucket  Bucket
	Key     string
	Version uint16
	Value   []byte
}

// encode prepends version and checksum to the value.
func encode(r Record) []byte {
	v := binary.BigEndian.AppendUint16(make([]byte, 0, headerBytes+len(r.Value)), r.Version)
	v = binary.BigEndian.AppendUint32(v, checksum(r))
	return append(v, r.Value...)
}

// checksum covers the record's version, bucket, key and value.
func checksum(r Record) uint32 {
	head := binary.BigEndian.AppendUint16(nil, r.Version)
	head = binary.BigEndian.AppendUint16(append(append(head, r.Bucket...), 0), uint16(len(r.Key)))
	return crc32.Update(crc32.ChecksumIEEE(append(head, r.Key...)), crc32.IEEETable, r.Value)
}

// decode parses a stored value and verifies its checksum. The record does not alias v.
func decode(b Bucket, key, v []byte) (r Record, valid bool) {
	if len(v) < headerBytes {
		return r, false
	}
	r = Record{b, string(key), binary.BigEndian.Uint16(v), append([]byte(nil), v[headerBytes:]...)}
	return r, checksum(r) == binary.BigEndian.Uint32(v[2:])
}

// cost is the number of bytes that a record counts towards the limit.
func cost(key, v []byte) int64 {
	n := int64(len(key) + len(v) + recordOverhead)
	if n > largeRecord {
		n *= 2
	}
	return n
}

func (l *Log) read(f func(*bbolt.Tx) error) error {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return wrapError(l.db.View(f))
}

// write runs one transaction, then compacts the file if it has grown too long.
func (l *Log) write(f func(*bbolt.Tx) error) error {
	ranked.AssertNoneHeld("writing to the fleet's log")
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.liveBytes
	if err := l.db.Update(f); err != nil {
		l.liveBytes = before
		return wrapError(err)
	}
	if l.size() <= l.maxBytes/compactShare {
		return nil
	}
	return wrapError(l.compact())
}

// Put writes records in one transaction: all or none.
func (l *Log) Put(rs ...Record) error {
	for _, r := range rs {
		if len(r.Key) == 0 || len(r.Key) > maxKeyBytes || len(r.Value) > maxValueBytes {
			return ErrTooLarge
		}
	}
	return l.write(func(tx *bbolt.Tx) error {
		for _, r := range rs {
			b, k, v := tx.Bucket([]byte(r.Bucket)), []byte(r.Key), encode(r)
			if old := b.Get(k); old != nil {
				l.liveBytes -= cost(k, old)
			}
			if l.liveBytes += cost(k, v); l.liveBytes > l.capacity() {
				return ErrFull
			}
			if err := b.Put(k, v); err != nil {
				return err
			}
		}
		return nil
	})
}

// Capacity returns how many bytes of records a log with the given size limit may hold.
func Capacity(maxBytes int64) int64 { return (maxBytes - 2*emptyFileBytes) / recordShare }

func (l *Log) capacity() int64 { return Capacity(l.maxBytes) }

// Get returns a record.
func (l *Log) Get(b Bucket, key string) (r Record, found bool, err error) {
	err = l.read(func(tx *bbolt.Tx) error {
		if v := tx.Bucket([]byte(b)).Get([]byte(key)); v != nil {
			r, found = decode(b, []byte(key), v)
		}
		return nil
	})
	return r, found, err
}

// Each calls f for a bucket's records in key order. An error of f stops the iteration and is returned unwrapped.
func (l *Log) Each(b Bucket, f func(Record) error) (err error) {
	stopped := l.read(func(tx *bbolt.Tx) error {
		return tx.Bucket([]byte(b)).ForEach(func(k, v []byte) error {
			if r, valid := decode(b, k, v); valid {
				err = f(r)
			}
			return err
		})
	})
	if err != nil {
		return err
	}
	return stopped
}

// Delete removes records. Their bytes may remain in the file until it is compacted; use Wipe for data that must be
// erased.
func (l *Log) Delete(b Bucket, keys ...string) error {
	return l.write(func(tx *bbolt.Tx) error { return l.deleteKeys(tx, b, keys) })
}

func (l *Log) deleteKeys(tx *bbolt.Tx, b Bucket, keys []string) error {
	for _, k := range keys {
		bucket := tx.Bucket([]byte(b))
		if old := bucket.Get([]byte(k)); old != nil {
			l.liveBytes -= cost([]byte(k), old)
		}
		if err := bucket.Delete([]byte(k)); err != nil {
			return err
		}
	}
	return nil
}
