package spool

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// bitmap holds one bit per slot.
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

// set sets a bit, and reports whether it changed.
func (b bitmap) set(i uint32) bool {
	if int(i/64) >= len(b) || b.has(i) {
		return false
	}
	b[i/64] |= 1 << (i % 64)
	return true
}

// clear clears a bit, and reports whether it changed.
func (b bitmap) clear(i uint32) bool {
	if !b.has(i) {
		return false
	}
	b[i/64] &^= 1 << (i % 64)
	return true
}

const (
	filterBitsPerID  = 20
	filterBlockWords = 8   // one cache line of the processor
	filterHashes     = 8   // bits set per ID, all in one block
	filterHashBits   = 9   // bits of the hash that select one bit of a block
	filterBlockBits  = 512 // = filterBlockWords * 64
)

// filter is a blocked Bloom filter of IDs. The false-positive rate is below one in a thousand: with hundreds of segments, each false
// positive costs a hand-in a file access.
type filter []uint64

func filterLen(n int) int { return (n*filterBitsPerID/filterBlockBits + 1) * filterBlockWords }

func newFilter(n int) filter { return make(filter, filterLen(n)) }

func (f filter) block(h uint64) []uint64 {
	at := int((h>>32)*uint64(len(f)/filterBlockWords)>>32) * filterBlockWords
	return f[at : at+filterBlockWords]
}

// filterBit returns the i-th bit of a hash within its block. The first seven come from one mix of the hash, the last from another.
func filterBit(h uint64, i int) (word, bit uint64) {
	v := h * 0x9e3779b97f4a7c15 >> (i * filterHashBits)
	if i == filterHashes-1 {
		v = (h ^ h>>29) * 0xbf58476d1ce4e5b9 >> (64 - filterHashBits)
	}
	return v & (filterBlockWords - 1), v >> 3 & 63
}

func (f filter) add(h uint64) {
	block := f.block(h)
	for i := range filterHashes {
		word, bit := filterBit(h, i)
		block[word] |= 1 << bit
	}
}

func (f filter) mayContain(h uint64) bool {
	if len(f) == 0 {
		return false
	}
	block := f.block(h)
	for i := range filterHashes {
		if word, bit := filterBit(h, i); block[word]>>bit&1 == 0 {
			return false
		}
	}
	return true
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// hashKey returns 0 only for the empty order key.
func hashKey(key string) uint64 {
	if key == "" {
		return 0
	}
	return max(xxhash.Sum64String(key), 1)
}
