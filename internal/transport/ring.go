// Package transport owns the sockets: connections with one goroutine and one ring buffer per direction, the
// connection pools to receivers, the clients' listener, and datagrams between senders.
package transport

const (
	minRingSize = 1 << 10  // bytes; a request or a response fits
	maxRingSize = 64 << 10 // bytes; more waits in the kernel's buffers
)

// ring is a byte queue that grows up to its limit and is freed when empty.
type ring struct {
	buf           []byte
	start, length int
}

func (r *ring) full() bool { return r.length == maxRingSize }

// writable returns the next contiguous free part; it is empty only when the ring is full.
func (r *ring) writable() []byte {
	if r.length == len(r.buf) && len(r.buf) < maxRingSize {
		grown := make([]byte, max(minRingSize, 2*len(r.buf)))
		n := copy(grown, r.buf[r.start:])
		copy(grown[n:], r.buf[:r.start])
		r.buf, r.start = grown, 0
	}
	end := r.start + r.length
	if end >= len(r.buf) {
		return r.buf[end-len(r.buf) : r.start]
	}
	return r.buf[end:]
}

// readable returns the next contiguous part with data.
func (r *ring) readable() []byte { return r.buf[r.start:min(r.start+r.length, len(r.buf))] }

func (r *ring) commit(n int) { r.length += n }

func (r *ring) consume(n int) {
	r.length -= n
	if r.start += n; r.start >= len(r.buf) {
		r.start -= len(r.buf)
	}
	if r.length == 0 {
		r.start = 0
	}
}

// release frees the memory of an empty ring.
func (r *ring) release() {
	if r.length == 0 {
		*r = ring{}
	}
}
