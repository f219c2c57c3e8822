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

// Names and fleet listen addresses of the senders of deploy/fleet-*.toml.
var senderAddrs = map[string]string{"a": "127.0.0.1:7301", "b": "127.0.0.1:7302", "c": "127.0.0.1:7303"}

// link is a TCP proxy for one direction between two senders.
type link struct {
	listenAddr, targetAddr string
	cut                    atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// runLinks runs a proxy for each directed link of the three senders and cuts and restores links by commands from standard input.
func runLinks() error {
	all := map[string]*link{}
	ended := make(chan error, 1)
	for from, ownAddr := range senderAddrs {
		for to, target := range senderAddrs {
			if from == to {
				continue
			}
			l := &link{listenAddr: "127.0.0.1:74" + ownAddr[len(ownAddr)-1:] + target[len(target)-1:], targetAddr: target, conns: map[net.Conn]bool{}}
			all[from+" "+to] = l
			listener, err := net.Listen("tcp", l.listenAddr)
			if err != nil {
				return err
			}
			go func() { ended <- l.serve(listener) }()
		}
	}
	log.Print(`"cut a" isolates a, "cut a b" cuts the link from a to b, "heal" restores all links`)
	go func() { ended <- readCommands(all) }()
	return <-ended
}

func readCommands(all map[string]*link) error {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) == 0 {
			continue
		}
		command, n := words[0], 0
		for name, l := range all {
			from, to, _ := strings.Cut(name, " ")
			switch {
			case command == "heal":
				l.setCut(false)
			case command == "cut" && len(words) == 2 && (words[1] == from || words[1] == to),
				command == "cut" && len(words) == 3 && words[1] == from && words[2] == to:
				l.setCut(true)
			default:
				continue
			}
			n++
		}
		log.Printf("%s: %d links", lines.Text(), n)
	}
	return errors.Join(lines.Err(), errors.New("end of standard input"))
}

func (l *link) setCut(cut bool) {
	l.cut.Store(cut)
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) serve(at net.Listener) error {
	for {
		in, err := at.Accept()
		if err != nil {
			return fmt.Errorf("link at %s: %w", l.listenAddr, err)
		}
		go l.proxy(in)
	}
}

func (l *link) proxy(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", l.targetAddr)
	if err != nil {
		return
	}
	defer out.Close()
	l.mu.Lock()
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	if !l.cut.Load() {
		go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
		_, _ = io.Copy(out, in)
	}
	l.mu.Lock()
	delete(l.conns, in)
	delete(l.conns, out)
	l.mu.Unlock()
}
