package spool

import (
	"encoding/binary"
	"hash/crc32"
)

// The records. Each stands in the file as length, checksum, kind and fields.
const (
	recTaken  byte = 1 + iota // the message
	recLeg                    // about to go out
	recUnrun                  // that leg surely never ran
	recEnded                  // undelivered; its notice is owed
	recOver                   // nothing is owed any more
	recDrawn                  // with the backlog on: a spilled message is a working one again; older programs skip it
	recRested                 // with the backlog on: a message whose taken record has legs is spilled; older programs skip it
)

const (
	headSize   = 8         // bytes: length and checksum
	mostRecord = 128 << 10 // bytes; longer ones are no records of ours
)

// encoder appends the fields of one record.
type encoder []byte

func begin(kind byte, id string) encoder {
	e := make(encoder, headSize, headSize+64)
	e = append(e, kind)
	return e.text([]byte(id))
}

func (e encoder) number(v int64) encoder { return binary.AppendVarint(e, v) }

func (e encoder) text(v []byte) encoder {
	return append(binary.AppendUvarint(e, uint64(len(v))), v...)
}

// seal fills in length and checksum.
func (e encoder) seal() []byte {
	binary.LittleEndian.PutUint32(e, uint32(len(e)-headSize))
	binary.LittleEndian.PutUint32(e[4:], crc32.ChecksumIEEE(e[headSize:]))
	return e
}

// decoder takes the fields off a record; bad turns true when one is not there.
type decoder struct {
	left []byte
	bad  bool
}

func (d *decoder) number() int64 {
	v, n := binary.Varint(d.left)
	if n <= 0 {
		d.bad = true
		return 0
	}
	d.left = d.left[n:]
	return v
}

func (d *decoder) text() []byte {
	size, n := binary.Uvarint(d.left)
	if n <= 0 || size > uint64(len(d.left)-n) {
		d.bad = true
		return nil
	}
	v := d.left[n : n+int(size)]
	d.left = d.left[n+int(size):]
	return v
}

// next cuts the first whole record off a segment's bytes; nil at the end or at a torn one.
func next(data []byte) (record, rest []byte) {
	if len(data) < headSize {
		return nil, data
	}
	size := int(binary.LittleEndian.Uint32(data))
	if size == 0 || size > mostRecord || len(data)-headSize < size {
		return nil, data
	}
	record = data[headSize : headSize+size]
	if crc32.ChecksumIEEE(record) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, data
	}
	return record, data[headSize+size:]
}
