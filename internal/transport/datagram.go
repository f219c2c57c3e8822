package transport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// MostNote is the longest datagram between senders, in bytes.
const MostNote = 256

const hearAgain = 10 * time.Millisecond // after an error, so that one that stays does not spin

// Datagrams carries notes between senders.
type Datagrams struct {
	conn    *net.UDPConn
	all     netip.AddrPort
	fellows map[netip.AddrPort]bool
	dropped atomic.Int64
}

// OpenDatagrams listens for notes of the fellows named and writes to all of them at one address.
func OpenDatagrams(listen, all string, fellows []string) (*Datagrams, error) {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("address for notes: %w", err)
	}
	d := &Datagrams{fellows: map[netip.AddrPort]bool{}}
	if d.all, err = netip.ParseAddrPort(all); err != nil {
		return nil, fmt.Errorf("address of all senders: %w", err)
	}
	for _, f := range fellows {
		a, err := netip.ParseAddrPort(f)
		if err != nil {
			return nil, fmt.Errorf("address of a sender: %w", err)
		}
		d.fellows[a] = true
	}
	if d.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, fmt.Errorf("listen for notes: %w", err)
	}
	return d, nil
}

// Send writes a note to all senders; one that is too long, or not taken, is dropped.
func (d *Datagrams) Send(text string) {
	if len(text) > MostNote {
		d.dropped.Add(1)
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort([]byte(text), d.all); err != nil {
		d.dropped.Add(1)
	}
}

// Receive hands on each note of a fellow until Close.
func (d *Datagrams) Receive(take func(text string)) {
	buf := make([]byte, MostNote+1)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // one that was refused, or no memory just now. Danger: to end here is to hear no fellow any more
			d.dropped.Add(1)
			time.Sleep(hearAgain)
			continue
		}
		if n > MostNote || !d.fellows[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())] {
			d.dropped.Add(1)
			continue
		}
		take(string(buf[:n]))
	}
}

// Dropped counts what was not sent or not taken.
func (d *Datagrams) Dropped() int64 { return d.dropped.Load() }

// Close ends Receive.
func (d *Datagrams) Close() { _ = d.conn.Close() }
