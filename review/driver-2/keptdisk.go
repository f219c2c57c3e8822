package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["kept-disk"] = keptDisk }

// keptTable has what ended undelivered kept, for a person to look at.
const keptTable = `version = 1

[kept]
most_mb = 1
`

// keptDisk has one of five partners shut for 20 s, where messages are kept, and looks at how much the folder that lasts holds.
func keptDisk(r *rig) error {
	const deadline = 8 * time.Second
	const limit = 3 << 20 // disk_mb = 3, in the larger of the two readings of a megabyte
	var vs []*receiver
	var ms []member
	for i := range 5 {
		v, err := r.newReceiver(fmt.Sprintf("v%d", i+1), int64(i+1), "")
		if err != nil {
			return err
		}
		vs, ms = append(vs, v), append(ms, serving(v.name, v.addr, v.cell))
	}
	a, err := r.newAgent(ms...)
	if err != nil {
		return err
	}
	p, err := r.newPlace("n0", a.addr, startFile(knownOf(1, ms...), lane("service-notice", "by_key", deadline)))
	if err != nil {
		return err
	}
	p.operator = filepath.Join(r.dir, "operator.toml")
	if err := os.WriteFile(p.operator, []byte(keptTable), 0o600); err != nil {
		return err
	}
	check := exec.Command("bin/ravenlink", "check", "--operator", p.operator)
	check.Env = append(os.Environ(), "RELAY_NAME="+p.name, "RELAY_LISTEN="+p.listen, "RELAY_DISCOVERY="+p.discovery, "RELAY_STATE="+p.state,
		"RELAY_CONFIG="+p.config)
	said, err := check.CombinedOutput()
	r.note("check   of both files: %v: %s", err, strings.TrimSpace(string(said)))
	s, err := r.start(p, "sender")
	if err != nil {
		return err
	}
	if err := s.ready(p); err != nil {
		return err
	}
	over := time.Now().Add(50 * time.Second)
	var folder sync.WaitGroup
	folder.Go(func() { r.watchFolder(p.state, limit, over) })
	var all sync.WaitGroup
	for i := range 5 { // 30 messages a second in all, of 16 KiB
		all.Go(func() {
			c := r.newClient(p.listen)
			c.n = (i + 1) * 100000
			for n := 0; time.Now().Before(over.Add(-12 * time.Second)); n++ {
				body := fmt.Sprintf("order %d of %d ", n, i+1) + strings.Repeat("x", 16<<10)
				c.handIn("service-notice", int64((n+i)%5+1), fmt.Sprintf("%08x%08x", i+1, n), "", body, deadline)
				time.Sleep(time.Second / 6)
			}
			c.drop()
		})
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		r.note("partner v1 is shut for 20 s")
		opens := time.Now().Add(20 * time.Second)
		vs[0].answers(func(string, string, string) (int, time.Duration, time.Duration) {
			if time.Now().Before(opens) {
				return 503, 0, 5 * time.Millisecond
			}
			return 200, 0, 20 * time.Millisecond
		})
	}
	all.Wait()
	folder.Wait()
	ran := 0
	for _, v := range vs {
		v.mu.Lock()
		ran += len(v.calls)
		v.mu.Unlock()
	}
	r.note("calls %d", ran)
	if ran < 500 {
		return fmt.Errorf("only %d calls", ran)
	}
	return nil
}

// watchFolder notes how much a folder holds, each file in whole 512 bytes, and that it is more than it may.
func (r *rig) watchFolder(dir string, limit int64, until time.Time) {
	noted, most := int64(0), int64(0)
	for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		files, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		sum, names := int64(0), ""
		for _, f := range files {
			if i, err := f.Info(); err == nil {
				sum += (i.Size() + 511) / 512 * 512
				names += fmt.Sprintf(" %s %d", f.Name(), i.Size())
			}
		}
		most = max(most, sum)
		if sum > noted+200_000 {
			noted = sum
			r.note("folder  %d bytes:%s", sum, names)
			if sum > limit {
				r.breaks("the folder holds %d bytes, it may hold %d:%s", sum, limit, names)
			}
		}
	}
	r.note("folder  %d bytes at most", most)
}
