package platform

import (
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// busy is a discovery that works off one call after the other. It turns away what it could not answer in 2 s. A watch beats until hush ends.
type busy struct {
	mu     sync.Mutex
	work   time.Duration // for a call
	freeAt time.Time
	calls  int
	hush   chan struct{}
}

// serve answers a call, or turns it away, and tells when it has answered.
func (b *busy) serve(c net.Conn, told func()) {
	b.mu.Lock()
	b.calls++
	now, hush := time.Now(), b.hush
	done := now.Add(max(0, b.freeAt.Sub(now)) + b.work)
	ok := done.Sub(now) <= 2*time.Second
	if ok {
		b.freeAt = done
	}
	b.mu.Unlock()
	if !ok {
		time.Sleep(20 * time.Millisecond)
		calls["503"](c)
		return
	}
	time.Sleep(time.Until(done))
	if _, err := io.WriteString(c, head+chunk(list)); err != nil {
		return
	}
	told()
	for {
		select {
		case <-hush:
			return
		case <-time.After(2 * time.Second):
			if _, err := io.WriteString(c, chunk("\n")); err != nil {
				return
			}
		}
	}
}

// quiet has all open watches fall silent. It gives the calls so far and counts anew.
func (b *busy) quiet() (calls int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.hush)
	calls, b.hush, b.calls = b.calls, make(chan struct{}), 0
	return calls
}

// All senders of a fleet lose their watches in one moment, where lists are asked for. All have one again in time, at a discovery that can just
// do it, with few calls too many.
func TestAllWatchesOfAFleetAreOpenedAnewInTime(t *testing.T) {
	const senders = 80
	for name, c := range map[string]struct {
		all, limit time.Duration // to answer one call of each, and by when all must be answered
		lose       func(b *busy, ps []*play) (calls int)
	}{
		"silent": {4 * time.Second, toldAnyway - margin, func(b *busy, _ []*play) int { return b.quiet() }},
		"moved": {2500 * time.Millisecond, toldMoved - margin, func(b *busy, ps []*play) int {
			for _, p := range ps {
				p.agent.Move("there")
			}
			return b.quiet()
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := &busy{work: c.all / senders, hush: make(chan struct{})}
			var ps []*play
			for i := range senders {
				ps = append(ps, begin(t, time.Duration(i+1), asked, func(p *play, _ string) deed {
					return func(c net.Conn) { b.serve(c, func() { p.told.Store(time.Now().UnixNano()) }) }
				}))
			}
			time.Sleep(20 * time.Second)
			lost := time.Now()
			assert.Equal(t, senders, c.lose(b, ps), "%s: one call of each from the start", name)
			time.Sleep(c.limit)
			late, worst := 0, time.Duration(0)
			for _, p := range ps {
				if took := time.Unix(0, p.told.Load()).Sub(lost); took < 0 {
					late++
				} else {
					worst = max(worst, took)
				}
			}
			calls := b.quiet()
			t.Log(name, worst, calls)
			assert.Zero(t, late, name)
			assert.Less(t, calls, senders*5/4, "%s: calls", name)
		})
	}
}
