package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["bodies"] = bodies }

// bodies has messages of any bytes and sizes wait over a kill, and looks whether id, key and body are passed on unchanged.
func bodies(r *rig) error {
	const deadline = 12 * time.Second
	v, err := r.newReceiver("v1", 1, "")
	if err != nil {
		return err
	}
	a, err := r.newAgent(serving("v1", v.addr, 1))
	if err != nil {
		return err
	}
	p, err := r.newPlace("n0", a.addr, startFile(knownOf(1, serving("v1", v.addr, 1)), lane("notice", "by_key", deadline)))
	if err != nil {
		return err
	}
	if os.Getenv("BACKLOG") == "1" {
		p.operator = filepath.Join(r.dir, "op.toml")
		if err := os.WriteFile(p.operator, []byte("version = 1\n[backlog]\n"), 0o600); err != nil {
			return err
		}
	}
	s, err := r.start(p, "sender")
	if err != nil {
		return err
	}
	if err := s.ready(p); err != nil {
		return err
	}
	v.answers(func(string, string, string) (int, time.Duration, time.Duration) {
		return 200, 0, 300 * time.Millisecond
	})
	c := r.newClient(p.listen)
	sent := map[string][2]string{}
	for i := range 80 {
		b := make([]byte, []int{0, 1, 2, 511, 512, 513, 4095, 4096, 65535, 65536, rand.IntN(65537), rand.IntN(3000), rand.IntN(3000), rand.IntN(3000)}[i%14])
		for k := range b {
			b[k] = byte(rand.IntN(256))
		}
		key := fmt.Sprintf(`k"\:;/%d`, i)
		id := fmt.Sprintf(`id"\:;{}%d`, i)
		if _, answer := c.handInAs(id, "notice", 1, key, "", string(b), deadline); answer == "+OK" {
			sent[id] = [2]string{key, string(b)}
		}
	}
	s.signal(syscall.SIGKILL)
	<-s.done
	c.drop()
	time.Sleep(600 * time.Millisecond)
	if s, err = r.start(p, "again"); err != nil {
		return err
	}
	if err := s.ready(p); err != nil {
		return err
	}
	time.Sleep(deadline + time.Second)
	got := 0
	for _, call := range v.calls {
		is, known := sent[call.id]
		if known && is != [2]string{call.key, call.body} {
			r.breaks("%q came with key %q and %d bytes, handed in with %q and %d", call.id, call.key, len(call.body), is[0], len(is[1]))
		}
		if known && call.status == 200 {
			got++
		}
	}
	none := 0
	for id := range sent {
		if _, ended := a.ended(id); !ended && !v.written(id) {
			none++
			r.breaks("%q has no end", id)
		}
	}
	fmt.Println("taken on", len(sent), "ran", got, "without an end", none)
	return nil
}
