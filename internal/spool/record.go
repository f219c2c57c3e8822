package spool

import (
	"encoding/binary"
	"hash/crc32"
)

// Record kinds. A record in the file consists of length, checksum, kind and fields.
const (
	recAccepted    byte = 1 + iota // a message was accepted
	recLeg                         // a leg is about to start
	recNeverRan                    // the latest leg certainly never ran
	recUndelivered                 // the message ended undelivered; its notice is pending
	recCompleted                   // nothing of the message is pending any more
	recLoaded                      // backlog only: a spilled message is active again; older programs skip it
	recSpilled                     // backlog only: a message whose accepted record has legs is spilled; older programs skip it
)

const (
	headerSize    = 8         // bytes: length and checksum
	maxRecordSize = 128 << 10 // bytes; a longer one is not a valid record
)

// encoder appends the fields of one record.
type encoder []byte

func newRecord(kind byte, id string) encoder {
	e := make(encoder, headerSize, headerSize+64)
	e = append(e, kind)
	return e.bytes([]byte(id))
}

func (e encoder) varint(v int64) encoder { return binary.AppendVarint(e, v) }

func (e encoder) bytes(v []byte) encoder {
	return append(binary.AppendUvarint(e, uint64(len(v))), v...)
}

// finish fills in length and checksum.
func (e encoder) finish() []byte {
	binary.LittleEndian.PutUint32(e, uint32(len(e)-headerSize))
	binary.LittleEndian.PutUint32(e[4:], crc32.ChecksumIEEE(e[headerSize:]))
	return e
}

// decoder reads the fields of a record; failed is set once one is missing.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.rest)
	if n <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) bytes() []byte {
	size, n := binary.Uvarint(d.rest)
	if n <= 0 || size > uint64(len(d.rest)-n) {
		d.failed = true
		return nil
	}
	v := d.rest[n : n+int(size)]
	d.rest = d.rest[n+int(size):]
	return v
}

// nextRecord splits the first whole record off a segment's bytes. It returns nil at the end or at a torn record.
func nextRecord(data []byte) (record, rest []byte) {
	if len(data) < headerSize {
		return nil, data
	}
	size := int(binary.LittleEndian.Uint32(data))
	if size == 0 || size > maxRecordSize || len(data)-headerSize < size {
		return nil, data
	}
	record = data[headerSize : headerSize+size]
	if crc32.ChecksumIEEE(record) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, data
	}
	return record, data[headerSize+size:]
}
