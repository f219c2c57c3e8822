package fleetlog

import (
	"encoding/binary"
	"hash/crc32"

	"go.etcd.io/bbolt"

	"ravenlink/internal/ranked"
)

const sealed = 6 // bytes before a value: its version and the checksum

// Record is one that a module keeps. Version is of the value's form and the module's to read: it refuses one that it does not know.
type Record struct {
	Bucket  Bucket
	Key     string
	Version uint16
	Value   []byte
}

// seal puts version and checksum before a value.
func seal(r Record) []byte {
	v := binary.BigEndian.AppendUint16(make([]byte, 0, sealed+len(r.Value)), r.Version)
	v = binary.BigEndian.AppendUint32(v, sum(r))
	return append(v, r.Value...)
}

// sum is over all that a record says, and where it stands.
func sum(r Record) uint32 {
	head := binary.BigEndian.AppendUint16(nil, r.Version)
	head = binary.BigEndian.AppendUint16(append(append(head, r.Bucket...), 0), uint16(len(r.Key)))
	return crc32.Update(crc32.ChecksumIEEE(append(head, r.Key...)), crc32.IEEETable, r.Value)
}

// unseal reads a value; the record is a copy.
func unseal(b Bucket, key, v []byte) (r Record, whole bool) {
	if len(v) < sealed {
		return r, false
	}
	r = Record{b, string(key), binary.BigEndian.Uint16(v), append([]byte(nil), v[sealed:]...)}
	return r, sum(r) == binary.BigEndian.Uint32(v[2:])
}

// cost is what a record counts towards the bound.
func cost(key, v []byte) int64 { return sealedCost(len(key), len(v)) }

func sealedCost(key, sealedValue int) int64 {
	n := int64(key + sealedValue + extra)
	if n > bigValue {
		n *= 2
	}
	return n
}

func (l *Log) read(f func(*bbolt.Tx) error) error {
	if err := l.reopenClosed(); err != nil {
		return wrap(err)
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	return wrap(l.db.View(f))
}

// write changes the file in one step, and has it compacted when it has grown too long. What was written stands though it could not be
// compacted: Uncompacted tells that, and the next change tries again.
func (l *Log) write(f func(*bbolt.Tx) error) error {
	ranked.Free("writing to the fleet's log")
	if err := l.reopenClosed(); err != nil {
		return wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.live
	if err := l.db.Update(f); err != nil {
		l.live = before
		l.room.otherIs(before.other)
		return wrap(err)
	}
	l.uncompacted = nil
	if l.size() > l.most/filePart || !l.inPlace() {
		l.uncompacted = wrap(l.compact())
	}
	return nil
}

// Uncompacted says why the file could not be compacted when that was last due; nil where it could.
func (l *Log) Uncompacted() error {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.uncompacted
}

// Key names a record.
type Key struct {
	Bucket Bucket
	Key    string
}

// Put writes records down in one step: all or none.
func (l *Log) Put(rs ...Record) error { return l.Change(rs, nil) }

// Change forgets records and writes others down in one step: all or none. ErrFull: the records would take more than their room, and more
// than they did.
func (l *Log) Change(put []Record, gone []Key) error {
	for _, r := range put {
		if len(r.Key) == 0 || len(r.Key) > mostKey || len(r.Value) > mostValue {
			return ErrSize
		}
	}
	return l.write(func(tx *bbolt.Tx) error {
		before := l.live
		for _, k := range gone {
			if err := l.drop(tx, k.Bucket, []string{k.Key}); err != nil {
				return err
			}
		}
		for _, r := range put {
			if err := l.put(tx, r); err != nil {
				return err
			}
		}
		return l.room.admit(before, l.live)
	})
}

func (l *Log) put(tx *bbolt.Tx, r Record) error {
	b, k, v := tx.Bucket([]byte(r.Bucket)), []byte(r.Key), seal(r)
	if old := b.Get(k); old != nil {
		l.live.add(r.Bucket, -cost(k, old))
	}
	l.live.add(r.Bucket, cost(k, v))
	return b.Put(k, v)
}

// Get finds a record.
func (l *Log) Get(b Bucket, key string) (r Record, found bool, err error) {
	err = l.read(func(tx *bbolt.Tx) error {
		if v := tx.Bucket([]byte(b)).Get([]byte(key)); v != nil {
			r, found = unseal(b, []byte(key), v)
		}
		return nil
	})
	return r, found, err
}

// Each walks a bucket's records by key. An error of f ends the walk and is given back as it is.
func (l *Log) Each(b Bucket, f func(Record) error) (err error) {
	stopped := l.read(func(tx *bbolt.Tx) error {
		return tx.Bucket([]byte(b)).ForEach(func(k, v []byte) error {
			if r, whole := unseal(b, k, v); whole {
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

// Delete forgets records. Their bytes may stay in the file until it is compacted: Wipe is for those that must go.
func (l *Log) Delete(b Bucket, keys ...string) error {
	var gone []Key
	for _, k := range keys {
		gone = append(gone, Key{b, k})
	}
	return l.Change(nil, gone)
}

func (l *Log) drop(tx *bbolt.Tx, b Bucket, keys []string) error {
	for _, k := range keys {
		at := tx.Bucket([]byte(b))
		if old := at.Get([]byte(k)); old != nil {
			l.live.add(b, -cost([]byte(k), old))
		}
		if err := at.Delete([]byte(k)); err != nil {
			return err
		}
	}
	return nil
}
