package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
)

// The senders of deploy/fleet-*.toml, and where they listen for one another.
var senders = map[string]string{"a": "127.0.0.1:7301", "b": "127.0.0.1:7302", "c": "127.0.0.1:7303"}

// link stands between two senders, in one direction.
type link struct {
	at, to string
	cut    atomic.Bool

	mu   sync.Mutex
	open map[net.Conn]bool
}

// links stands in every directed link of the three senders and cuts and mends them as lines on standard input say.
func links() error {
	all := map[string]*link{}
	ended := make(chan error, 1)
	for from, own := range senders {
		for to, target := range senders {
			if from == to {
				continue
			}
			l := &link{at: "127.0.0.1:74" + own[len(own)-1:] + target[len(target)-1:], to: target, open: map[net.Conn]bool{}}
			all[from+" "+to] = l
			listener, err := net.Listen("tcp", l.at)
			if err != nil {
				return err
			}
			go func() { ended <- l.serve(listener) }()
		}
	}
	log.Print(`"cut a" cuts a off, "cut a b" cuts what a tells b, "heal" mends all`)
	go func() { ended <- obey(all) }()
	return <-ended
}

func obey(all map[string]*link) error {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		what, n := words[0], 0
		for name, l := range all {
			from, to, _ := strings.Cut(name, " ")
			switch {
			case what == "heal":
				l.set(false)
			case what == "cut" && len(words) == 2 && (words[1] == from || words[1] == to),
				what == "cut" && len(words) == 3 && words[1] == from && words[2] == to:
				l.set(true)
			default:
				continue
			}
			n++
		}
		log.Printf("%s: %d links", lines.Text(), n)
	}
	return errors.Join(lines.Err(), errors.New("no more lines"))
}

func (l *link) set(cut bool) {
	l.cut.Store(cut)
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.Close()
	}
}

func (l *link) serve(at net.Listener) error {
	for {
		in, err := at.Accept()
		if err != nil {
			return fmt.Errorf("link at %s: %w", l.at, err)
		}
		go l.pass(in)
	}
}

func (l *link) pass(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer out.Close()
	l.mu.Lock()
	l.open[in], l.open[out] = true, true
	l.mu.Unlock()
	if !l.cut.Load() {
		go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
		_, _ = io.Copy(out, in)
	}
	l.mu.Lock()
	delete(l.open, in)
	delete(l.open, out)
	l.mu.Unlock()
}
