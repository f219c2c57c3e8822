package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// closings collects what a pool tells of its connections' ends.
type closings struct {
	mu  sync.Mutex
	all []Closing
}

func (c *closings) add(one Closing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, one)
}

func (c *closings) first() (Closing, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.all) == 0 {
		return Closing{}, false
	}
	return c.all[0], true
}

func TestEachEndOfAConnectionIsToldWithItsReason(t *testing.T) {
	after := func(do func(c net.Conn)) func(net.Conn, int64) { // echoes one line, then does something, then waits for the end
		return func(c net.Conn, _ int64) {
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			line, _ := r.ReadString('\n')
			_, _ = io.WriteString(c, line)
			do(c)
			_, _ = io.Copy(io.Discard, r)
		}
	}
	nothing := func(net.Conn) {}
	for why, story := range map[CloseReason]struct {
		far  func(net.Conn, int64)
		idle time.Duration
		then func(p *Pool, addr string)
	}{
		IdleTooLong: {far: after(nothing), idle: time.Millisecond},
		EndedAtRest: {far: after(func(c net.Conn) { _ = c.Close() }), idle: long},
		SpokeAtRest: {far: after(func(c net.Conn) { time.Sleep(time.Millisecond); _, _ = io.WriteString(c, "one\n") }), idle: long},
		GaveWay: {far: after(nothing), idle: long, then: func(p *Pool, addr string) {
			var got string
			p.Do(context.Background(), "other", addr, long, say("two", &got))
		}},
		NotWanted:  {far: after(nothing), idle: long, then: func(p *Pool, _ string) { p.CloseIdle("r") }},
		CallFailed: {far: func(c net.Conn, _ int64) { _ = c.Close() }, idle: long},
	} {
		t.Run(why.String(), func(t *testing.T) {
			f := farSide(t, story.far)
			p, told := pool(t, story.idle, 1), &closings{}
			p.Closed = told.add
			var got string
			p.Do(context.Background(), "r", f.addr, long, say("one", &got))
			if story.then != nil {
				story.then(p, f.addr)
			}
			require.Eventually(t, func() bool { _, is := told.first(); return is }, long, time.Millisecond)
			c, _ := told.first()
			assert.Equal(t, fmt.Sprint(why), fmt.Sprint(c.Why))
			assert.Equal(t, "r", c.Receiver)
			assert.EqualValues(t, 1, c.Connection)
		})
	}
}
