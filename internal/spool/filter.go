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
	filterBits  = 14  // a message
	filterWords = 8   // a block: one line of the processor's cache
	filterMarks = 6   // bits set a message, all in one block
	blockBits   = 512 // of these words
)

// filter is a blocked Bloom filter of ids: about three in a thousand that are not there pass.
type filter []uint64

func filterLen(n int) int { return (n*filterBits/blockBits + 1) * filterWords }

func newFilter(n int) filter { return make(filter, filterLen(n)) }

func (f filter) block(h uint64) ([]uint64, uint64) {
	at := int((h>>32)*uint64(len(f)/filterWords)>>32) * filterWords
	return f[at : at+filterWords], h * 0x9e3779b97f4a7c15
}

func (f filter) add(h uint64) {
	block, marks := f.block(h)
	for range filterMarks {
		block[marks>>3&7] |= 1 << (marks >> 6 & 63)
		marks >>= 9
	}
}

func (f filter) may(h uint64) bool {
	if len(f) == 0 {
		return false
	}
	block, marks := f.block(h)
	for range filterMarks {
		if block[marks>>3&7]>>(marks>>6&63)&1 == 0 {
			return false
		}
		marks >>= 9
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
