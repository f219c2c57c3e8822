package transport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// MaxDatagram is the maximum size of a datagram between senders, in bytes.
const MaxDatagram = 256

const receiveRetryDelay = 10 * time.Millisecond // after an error, so that a persistent one does not cause a busy loop

// Datagrams sends and receives datagrams between senders.
type Datagrams struct {
	conn    *net.UDPConn
	all     netip.AddrPort
	peers   map[netip.AddrPort]bool
	dropped atomic.Int64
}

// OpenDatagrams listens for datagrams from the given peers and sends to all of them at one address.
func OpenDatagrams(listen, all string, peers []string) (*Datagrams, error) {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("listen address for datagrams: %w", err)
	}
	d := &Datagrams{peers: map[netip.AddrPort]bool{}}
	if d.all, err = netip.ParseAddrPort(all); err != nil {
		return nil, fmt.Errorf("datagram address of all senders: %w", err)
	}
	for _, f := range peers {
		a, err := netip.ParseAddrPort(f)
		if err != nil {
			return nil, fmt.Errorf("datagram address of a peer: %w", err)
		}
		d.peers[a] = true
	}
	if d.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	return d, nil
}

// Send sends a datagram to all senders. One that is too long or cannot be sent is dropped.
func (d *Datagrams) Send(text string) {
	if len(text) > MaxDatagram {
		d.dropped.Add(1)
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort([]byte(text), d.all); err != nil {
		d.dropped.Add(1)
	}
}

// Receive calls take for each datagram from a peer until Close.
func (d *Datagrams) Receive(take func(text string)) {
	buf := make([]byte, MaxDatagram+1)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // e.g. connection refused, or out of memory for a moment; returning would stop reception for good
			d.dropped.Add(1)
			time.Sleep(receiveRetryDelay)
			continue
		}
		if n > MaxDatagram || !d.peers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())] {
			d.dropped.Add(1)
			continue
		}
		take(string(buf[:n]))
	}
}

// Dropped returns the number of datagrams that were not sent or not accepted.
func (d *Datagrams) Dropped() int64 { return d.dropped.Load() }

// Close ends Receive.
func (d *Datagrams) Close() { _ = d.conn.Close() }
