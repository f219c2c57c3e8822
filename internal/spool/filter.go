package spool

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// bitmap holds one bit a slot.
type bitmap []uint64

func bitmapLen(n uint32) int { return (int(n) + 63) / 64 }

func newBitmap(n uint32) bitmap { return make(bitmap, bitmapLen(n)) }

func (b bitmap) count() (n int) {
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}

func (b bitmap) has(i uint32) bool { return int(i/64) < len(b) && b[i/64]>>(i%64)&1 != 0 }

// set sets a bit, and tells whether it changed.
func (b bitmap) set(i uint32) bool {
	if int(i/64) >= len(b) || b.has(i) {
		return false
	}
	b[i/64] |= 1 << (i % 64)
	return true
}

// clear clears a bit, and tells whether it changed.
func (b bitmap) clear(i uint32) bool {
	if !b.has(i) {
		return false
	}
	b[i/64] &^= 1 << (i % 64)
	return true
}

const (
	filterBits  = 20  // a message
	filterWords = 8   // a block: one line of the processor's cache
	filterMarks = 8   // bits set a message, all in one block
	markBits    = 9   // that tell one bit of a block
	blockBits   = 512 // of these words
)

// filter is a blocked Bloom filter of ids. Of ids that are not there fewer than one in a thousand pass: with hundreds of segments each that
// passes costs a hand-in a look into a file.
type filter []uint64

func filterLen(n int) int { return (n*filterBits/blockBits + 1) * filterWords }

func newFilter(n int) filter { return make(filter, filterLen(n)) }

func (f filter) block(h uint64) []uint64 {
	at := int((h>>32)*uint64(len(f)/filterWords)>>32) * filterWords
	return f[at : at+filterWords]
}

// mark is the i-th bit of a hash in its block. Seven come from one mixing of it, the last from another.
func mark(h uint64, i int) (word, bit uint64) {
	v := h * 0x9e3779b97f4a7c15 >> (i * markBits)
	if i == filterMarks-1 {
		v = (h ^ h>>29) * 0xbf58476d1ce4e5b9 >> (64 - markBits)
	}
	return v & (filterWords - 1), v >> 3 & 63
}

func (f filter) add(h uint64) {
	block := f.block(h)
	for i := range filterMarks {
		word, bit := mark(h, i)
		block[word] |= 1 << bit
	}
}

func (f filter) may(h uint64) bool {
	if len(f) == 0 {
		return false
	}
	block := f.block(h)
	for i := range filterMarks {
		if word, bit := mark(h, i); block[word]>>bit&1 == 0 {
			return false
		}
	}
	return true
}

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

// hashKey is 0 for no order key, and for that alone.
func hashKey(key string) uint64 {
	if key == "" {
		return 0
	}
	return max(xxhash.Sum64String(key), 1)
}
