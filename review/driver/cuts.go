package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// wire is what stands between two senders in one direction. While it is cut nothing passes, either way, and nothing is closed.
type wire struct {
	to string
	mu sync.Mutex
	up *sync.Cond
	no bool
}

// wire starts one and tells its address.
func (p *play) wire(to string) (*wire, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	w := &wire{to: to}
	w.up = sync.NewCond(&w.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.carry(c)
		}
	}()
	return w, l.Addr().String(), nil
}

func (w *wire) wait() {
	w.mu.Lock()
	for w.no {
		w.up.Wait()
	}
	w.mu.Unlock()
}

func (w *wire) cut(no bool) {
	w.mu.Lock()
	w.no = no
	w.mu.Unlock()
	w.up.Broadcast()
}

func (w *wire) carry(c net.Conn) {
	defer func() { _ = c.Close() }()
	w.wait()
	to, err := net.Dial("tcp", w.to)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go w.pass(to, c)
	w.pass(c, to)
}

func (w *wire) pass(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		w.wait()
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			return
		}
	}
}

// cuts draws cuts between senders until a time: one way, both ways, or all of one sender.
func (p *play) cuts(wires [senders][senders]*wire, draw *rand.Rand, stop time.Time) {
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(1000+draw.IntN(4000)) * time.Millisecond)
		i := draw.IntN(senders)
		j := (i + 1 + draw.IntN(senders-1)) % senders
		var some []*wire
		what := ""
		switch draw.IntN(3) {
		case 0:
			some, what = []*wire{wires[i][j]}, fmt.Sprintf("%c to %c", 'a'+i, 'a'+j)
		case 1:
			some, what = []*wire{wires[i][j], wires[j][i]}, fmt.Sprintf("%c and %c", 'a'+i, 'a'+j)
		case 2:
			what = fmt.Sprintf("%c and all others", 'a'+i)
			for k := range senders {
				if k != i {
					some = append(some, wires[i][k], wires[k][i])
				}
			}
		}
		for _, x := range some {
			x.cut(true)
		}
		p.note("links: cut %s", what)
		time.Sleep(time.Duration(500+draw.IntN(9000)) * time.Millisecond)
		for _, x := range some {
			x.cut(false)
		}
		p.note("links: healed")
	}
}
