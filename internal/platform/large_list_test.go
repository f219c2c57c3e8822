package platform

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

const (
	largeListSize = 99_000
	listEnd       = "]}\n"
)

// membersJSON returns the members from one number up to another, each with a destination of its own; listHead
// is the text in front of them.
func membersJSON(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"id":"s-%06d","host_port":"10.1.%d.%d:8080","locality":"z","flavor":"m","cell":%d,"phase":"SERVING","size":1}`,
			i, i/250, i%250, 1000+i)
	}
	return b.String()
}

func listHead(revision int) string {
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[`, revision)
}

// awaitKnown waits until the module knows n receivers, and returns how many it knows.
func (p *discoveryTest) awaitKnown(n int) int {
	for limit := time.Now().Add(time.Minute); p.router.Stats().Known != n && time.Now().Before(limit); {
		time.Sleep(10 * time.Millisecond)
	}
	return p.router.Stats().Known
}

func (p *discoveryTest) callsMade() (made int, froms []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callCount, append(froms, p.fromRevisions...)
}

// writeSteadily writes members in batches, one every half second, the first beyond 1 MiB at once, and then
// end.
func writeSteadily(c net.Conn, n int, end string) {
	for at := 0; at < n; {
		next := min(n, max(at+5000, 12_000))
		if _, err := io.WriteString(c, chunk(membersJSON(at, next))); err != nil {
			return
		}
		if at = next; at < n {
			time.Sleep(500 * time.Millisecond)
		}
	}
	_, _ = io.WriteString(c, chunk(end))
}

// A large list takes longer than the limits for a first object and for silence, and is read to its end by one
// call. Changes made while it is read follow on the same watch.
func TestLargeListChangedWhileReadIsComplete(t *testing.T) {
	for mode := range modes {
		synctest.Test(t, func(t *testing.T) {
			change := chunk(`{"revision":9,"complete":false,"members":[` + membersJSON(0, 1) + `,` + strings.TrimPrefix(membersJSON(largeListSize, largeListSize+1), ",") + listEnd)
			p := startDiscovery(t, 1, mode, func(*discoveryTest, string) behaviour {
				return func(c net.Conn) {
					says(head + chunk(listHead(8)))(c)
					writeSteadily(c, largeListSize, listEnd)
					says(change)(c)
					for err := error(nil); err == nil; time.Sleep(2 * time.Second) {
						_, err = io.WriteString(c, chunk("\n"))
					}
				}
			})
			began := time.Now()
			assert.Equal(t, largeListSize+2, p.awaitKnown(largeListSize+2), "the list, its change and the one from before the start")
			assert.Greater(t, time.Since(began), 2*onDemandCallTimeout, "longer than one object has")
			made, froms := p.callsMade()
			assert.Equal(t, 1, made, "%s: no call beside one that goes on: %v", mode, froms)
		})
	}
}

// A large object on an open watch may also take longer than the limit for silence.
func TestLargeListOnOpenWatchIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startDiscovery(t, 1, pushed, func(*discoveryTest, string) behaviour {
			return func(c net.Conn) {
				says(head + chunk(list) + chunk(listHead(8)))(c)
				writeSteadily(c, 50_000, listEnd)
				for err := error(nil); err == nil; time.Sleep(2 * time.Second) {
					_, err = io.WriteString(c, chunk("\n"))
				}
			}
		})
		assert.Equal(t, 50_001, p.awaitKnown(50_001))
		made, _ := p.callsMade()
		assert.Equal(t, 1, made)
	})
}

// A large list that is truncated, hangs or trickles is discarded; the next call asks from the same revision
// and delivers in time.
func TestIncompleteLargeListIsDiscarded(t *testing.T) {
	trickle := func(c net.Conn) {
		for i, err := largeListSize/2, error(nil); err == nil && i < largeListSize; i++ {
			time.Sleep(10 * time.Millisecond)
			_, err = io.WriteString(c, chunk(membersJSON(i, i+1)))
		}
	}
	for mode, soon := range map[string]time.Duration{pushed: 800 * time.Millisecond, onDemand: onDemandLimit - margin} {
		for name, breaks := range map[string]behaviour{"cut": closes, "hung": hangs, "trickles": trickle, "blanks": trickles(chunk(" ")), "beats": trickles(chunk("\n"))} {
			synctest.Test(t, func(t *testing.T) {
				p := startDiscovery(t, 1, mode, func(p *discoveryTest, _ string) behaviour {
					if p.callCount > 1 {
						return p.sendList
					}
					return func(c net.Conn) {
						says(head + chunk(listHead(8)))(c)
						writeSteadily(c, largeListSize/2, " ")
						p.markReachable()
						breaks(c)
					}
				})
				assert.Less(t, p.awaitList(), soon, "%s, %s", mode, name)
				made, froms := p.callsMade()
				assert.Equal(t, []string{"1", "1"}, froms, "%s, %s", mode, name)
				assert.Equal(t, 2, made)
				synctest.Wait()
				assert.Equal(t, 1, p.router.Stats().Known, "the one from before the start, %s, %s", mode, name)
			})
		}
	}
}

// Up to the former maximum size, the limits for a whole object apply however steadily a list arrives.
func TestSmallListIsCutOffAtTimeLimit(t *testing.T) {
	for mode, limit := range map[string]time.Duration{pushed: pushedCallTimeout, onDemand: onDemandCallTimeout} {
		synctest.Test(t, func(t *testing.T) {
			var lost time.Duration
			p := startDiscovery(t, 1, mode, func(p *discoveryTest, _ string) behaviour {
				if p.callCount > 1 {
					return hangs
				}
				return func(c net.Conn) {
					began := time.Now()
					says(head + chunk(listHead(8)))(c)
					for i, err := 0, error(nil); err == nil; i++ {
						time.Sleep(time.Millisecond)
						_, err = io.WriteString(c, chunk(membersJSON(i, i+1)))
					}
					p.mu.Lock()
					lost = time.Since(began)
					p.mu.Unlock()
				}
			})
			time.Sleep(2 * limit)
			p.mu.Lock()
			defer p.mu.Unlock()
			assert.InDelta(t, limit.Seconds(), lost.Seconds(), 0.01, mode)
		})
	}
}

// A list that needs more memory than available leaves the known list in force and is logged; one that fits
// arrives in time.
func TestListTooLargeForMemoryIsRefusedAndLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logs, seen := observer.New(zap.WarnLevel)
		p := startDiscoveryWithMemory(t, 1, pushed, 4<<20, zap.New(logs), func(p *discoveryTest, _ string) behaviour {
			if p.callCount > 3 {
				return p.sendList
			}
			return func(c net.Conn) { says(head + chunk(listHead(8)) + chunk(membersJSON(0, 50_000)) + chunk(listEnd))(c) }
		})
		began := time.Now()
		p.markReachable()
		assert.Less(t, p.awaitList(), 3*tooLargeRetryDelay+time.Second)
		assert.GreaterOrEqual(t, time.Since(began), 3*tooLargeRetryDelay, "discovery is spared meanwhile")
		_, froms := p.callsMade()
		assert.Equal(t, []string{"1", "1", "1", "1"}, froms)
		assert.Equal(t, 1, p.router.Stats().Known)
		assert.Len(t, seen.All(), 1, "once")
		said := fmt.Sprint(seen.All()[0].ContextMap()["error"])
		assert.Contains(t, said, "too large for this sender's memory (give it more, or list fewer receivers)")
		assert.Contains(t, said, "4194304 bytes")
	})
}

// writeInSteps writes members about 16 KiB at a time and calls turn before each.
func writeInSteps(c net.Conn, from, to int, turn func()) error {
	for at := from; at < to; {
		next := min(at+140, to)
		turn()
		if _, err := io.WriteString(c, chunk(membersJSON(at, next))); err != nil {
			return err
		}
		at = next
	}
	return nil
}

// A busy machine serves all calls together at 400 KB of lists per second. In parallel, each cut off after 0.6
// s, none would ever complete.
func TestConcurrentCallsDoNotStarveEachOther(t *testing.T) {
	for name, n := range map[string]int{"below 1 MiB": 8000, "beyond 1 MiB": 12_000} {
		synctest.Test(t, func(t *testing.T) {
			core := make(chan struct{}, 1)
			p := startDiscovery(t, 1, pushed, func(*discoveryTest, string) behaviour {
				return func(c net.Conn) {
					says(head + chunk(listHead(8)))(c)
					err := writeInSteps(c, 0, n, func() {
						core <- struct{}{}
						time.Sleep(40 * time.Millisecond)
						<-core
					})
					if err == nil {
						says(chunk(listEnd))(c)
					}
					for ; err == nil; time.Sleep(2 * time.Second) {
						_, err = io.WriteString(c, chunk("\n"))
					}
				}
			})
			began := time.Now()
			assert.Equal(t, n+1, p.awaitKnown(n+1), "%s: the list and the one from before the start", name)
			assert.Less(t, time.Since(began), 10*time.Second, name)
			made, _ := p.callsMade()
			assert.LessOrEqual(t, made, 6, "%s: none begins beside one that gets on", name)
		})
	}
}

// At half that rate a list grows by 16 KiB every 0.08 s: two steps take longer than the shortest pause before
// the next call, which used to start beside it.
func TestNoCallStartsBesideOneWithSlowProgress(t *testing.T) {
	const step, members = 80 * time.Millisecond, 8000
	alone := members / 140 * step
	synctest.Test(t, func(t *testing.T) {
		core := make(chan struct{}, 1)
		p := startDiscovery(t, 1, pushed, func(*discoveryTest, string) behaviour {
			return func(c net.Conn) {
				says(head + chunk(listHead(8)))(c)
				err := writeInSteps(c, 0, members, func() {
					core <- struct{}{}
					time.Sleep(step)
					<-core
				})
				if err == nil {
					says(chunk(listEnd))(c)
				}
			}
		})
		began := time.Now()
		assert.Equal(t, members+1, p.awaitKnown(members+1), "the list and the one from before the start")
		assert.Less(t, time.Since(began), 2*alone+time.Second)
	})
}

// A call that made progress beyond its first 0.6 s, and then hangs or trickles, is not waited for and is
// detected within 0.6 s.
func TestStalledListIsNotWaitedFor(t *testing.T) {
	for name, breaks := range map[string]behaviour{"hung": hangs, "trickles": trickles(chunk(" ")), "beats": trickles(chunk("\n"))} {
		for _, n := range []int{600, 1500, 4500} { // 69 KB, which is not extended yet, 0.17 and 0.5 MB
			var lost time.Duration
			gotOn := func(p *discoveryTest) behaviour {
				return func(c net.Conn) {
					says(head + chunk(listHead(8)))(c)
					if writeInSteps(c, 0, n, func() { time.Sleep(50 * time.Millisecond) }) != nil {
						return
					}
					p.markReachable()
					p.serving.Go(func() { breaks(c) })
					_, _ = c.Read(make([]byte, 1))
					p.mu.Lock()
					lost = time.Duration(time.Now().UnixNano() - p.reachableSince.Load())
					p.mu.Unlock()
				}
			}
			synctest.Test(t, func(t *testing.T) {
				p := startDiscovery(t, 1, pushed, func(p *discoveryTest, _ string) behaviour {
					if p.callCount > 1 && p.reachableSince.Load() > 0 {
						return p.sendList
					} else if p.callCount > 1 {
						return hangs
					}
					return gotOn(p)
				})
				assert.Less(t, p.awaitList(), pushedCallInterval, "%s, %d members: another begins", name, n)
				synctest.Wait()
				assert.Equal(t, 1, p.router.Stats().Known, "the one from before the start")
			})
			synctest.Test(t, func(t *testing.T) {
				p := startDiscovery(t, 1, pushed, func(p *discoveryTest, _ string) behaviour {
					if p.callCount > 1 {
						return hangs
					}
					return gotOn(p)
				})
				time.Sleep(10 * time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				assert.Positive(t, lost)
				assert.LessOrEqual(t, lost, progressTimeout, "%s, %d members: found out", name, n)
				assert.Greater(t, p.callCount, 50, "calls go on beside it and after it")
			})
		}
	}
}
