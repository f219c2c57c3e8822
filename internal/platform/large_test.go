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
	most99k = 99_000
	listEnd = "]}\n"
)

// listed are members from one number to another, with a destination each; beginning is what stands in front of them.
func listed(from, to int) string {
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

func beginning(revision int) string {
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[`, revision)
}

// known waits until the module knows so many receivers, and gives how many those are.
func (p *play) known(n int) int {
	for limit := time.Now().Add(time.Minute); p.router.Believes().Known != n && time.Now().Before(limit); {
		time.Sleep(10 * time.Millisecond)
	}
	return p.router.Believes().Known
}

func (p *play) seen() (made int, froms []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.made, append(froms, p.froms...)
}

// steadily writes members in lots, one every half a second, the first beyond 1 MiB at once, and then an end.
func steadily(c net.Conn, n int, end string) {
	for at := 0; at < n; {
		next := min(n, max(at+5000, 12_000))
		if _, err := io.WriteString(c, chunk(listed(at, next))); err != nil {
			return
		}
		if at = next; at < n {
			time.Sleep(500 * time.Millisecond)
		}
	}
	_, _ = io.WriteString(c, chunk(end))
}

// A large list takes longer than a first object or a silence may, and is read to its end by one call. What changes while it is read
// follows on the same watch.
func TestALargeListThatChangesWhileItIsReadIsTakenWhole(t *testing.T) {
	for mode := range modes {
		synctest.Test(t, func(t *testing.T) {
			change := chunk(`{"revision":9,"complete":false,"members":[` + listed(0, 1) + `,` + strings.TrimPrefix(listed(most99k, most99k+1), ",") + listEnd)
			p := begin(t, 1, mode, func(*play, string) deed {
				return func(c net.Conn) {
					says(head + chunk(beginning(8)))(c)
					steadily(c, most99k, listEnd)
					says(change)(c)
					for err := error(nil); err == nil; time.Sleep(2 * time.Second) {
						_, err = io.WriteString(c, chunk("\n"))
					}
				}
			})
			began := time.Now()
			assert.Equal(t, most99k+2, p.known(most99k+2), "the list, its change and the one from before the start")
			assert.Greater(t, time.Since(began), 2*askedFirst, "longer than one object has")
			made, froms := p.seen()
			assert.Equal(t, 1, made, "%s: no call beside one that goes on: %v", mode, froms)
		})
	}
}

// A large object on a watch that is up has more than the silence, as the first one.
func TestALargeListOnAWatchThatIsUpIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := begin(t, 1, pushed, func(*play, string) deed {
			return func(c net.Conn) {
				says(head + chunk(list) + chunk(beginning(8)))(c)
				steadily(c, 50_000, listEnd)
				for err := error(nil); err == nil; time.Sleep(2 * time.Second) {
					_, err = io.WriteString(c, chunk("\n"))
				}
			}
		})
		assert.Equal(t, 50_001, p.known(50_001))
		made, _ := p.seen()
		assert.Equal(t, 1, made)
	})
}

// Cut, hung or trickling in its middle, a large list counts for nothing, the next call asks from the same revision, and it comes in time.
func TestALargeListThatIsNeverWholeCountsForNothing(t *testing.T) {
	trickle := func(c net.Conn) {
		for i, err := most99k/2, error(nil); err == nil && i < most99k; i++ {
			time.Sleep(10 * time.Millisecond)
			_, err = io.WriteString(c, chunk(listed(i, i+1)))
		}
	}
	for mode, soon := range map[string]time.Duration{pushed: 800 * time.Millisecond, asked: toldAnyway - margin} {
		for name, breaks := range map[string]deed{"cut": closes, "hung": hangs, "trickles": trickle, "blanks": trickles(chunk(" ")), "beats": trickles(chunk("\n"))} {
			synctest.Test(t, func(t *testing.T) {
				p := begin(t, 1, mode, func(p *play, _ string) deed {
					if p.made > 1 {
						return p.answers
					}
					return func(c net.Conn) {
						says(head + chunk(beginning(8)))(c)
						steadily(c, most99k/2, " ")
						p.now()
						breaks(c)
					}
				})
				assert.Less(t, p.wait(), soon, "%s, %s", mode, name)
				made, froms := p.seen()
				assert.Equal(t, []string{"1", "1"}, froms, "%s, %s", mode, name)
				assert.Equal(t, 2, made)
				synctest.Wait()
				assert.Equal(t, 1, p.router.Believes().Known, "the one from before the start, %s, %s", mode, name)
			})
		}
	}
}

// Up to the size that lists had before, the limits for a whole object hold as they did, however steadily it comes.
func TestASmallListThatStreamsIsCutOffByItsLimit(t *testing.T) {
	for mode, limit := range map[string]time.Duration{pushed: pushedFirst, asked: askedFirst} {
		synctest.Test(t, func(t *testing.T) {
			var lost time.Duration
			p := begin(t, 1, mode, func(p *play, _ string) deed {
				if p.made > 1 {
					return hangs
				}
				return func(c net.Conn) {
					began := time.Now()
					says(head + chunk(beginning(8)))(c)
					for i, err := 0, error(nil); err == nil; i++ {
						time.Sleep(time.Millisecond)
						_, err = io.WriteString(c, chunk(listed(i, i+1)))
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

// A list that takes more memory than there is for it leaves what is known in force and says so; one that fits comes in time.
func TestAListTooLargeForTheMemoryIsRefusedInPlainWords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logs, seen := observer.New(zap.WarnLevel)
		p := beginWithin(t, 1, pushed, 4<<20, zap.New(logs), func(p *play, _ string) deed {
			if p.made > 3 {
				return p.answers
			}
			return func(c net.Conn) { says(head + chunk(beginning(8)) + chunk(listed(0, 50_000)) + chunk(listEnd))(c) }
		})
		began := time.Now()
		p.now()
		assert.Less(t, p.wait(), 3*largeAgain+time.Second)
		assert.GreaterOrEqual(t, time.Since(began), 3*largeAgain, "discovery is spared meanwhile")
		_, froms := p.seen()
		assert.Equal(t, []string{"1", "1", "1", "1"}, froms)
		assert.Equal(t, 1, p.router.Believes().Known)
		assert.Len(t, seen.All(), 1, "once")
		said := fmt.Sprint(seen.All()[0].ContextMap()["error"])
		assert.Contains(t, said, "too large for this sender's memory (give it more, or list fewer receivers)")
		assert.Contains(t, said, "4194304 bytes")
	})
}

// inSteps writes members some 16 KiB at a time, as one gives the word for each.
func inSteps(c net.Conn, from, to int, turn func()) error {
	for at := from; at < to; {
		next := min(at+140, to)
		turn()
		if _, err := io.WriteString(c, chunk(listed(at, next))); err != nil {
			return err
		}
		at = next
	}
	return nil
}

// A busy machine gives all calls together 400 KB of lists a second. Side by side, each cut off after 0.6 s, none would ever be whole.
func TestCallsThatStarveOneAnotherLetOneBeWhole(t *testing.T) {
	for name, n := range map[string]int{"below 1 MiB": 8000, "beyond 1 MiB": 12_000} {
		synctest.Test(t, func(t *testing.T) {
			core := make(chan struct{}, 1)
			p := begin(t, 1, pushed, func(*play, string) deed {
				return func(c net.Conn) {
					says(head + chunk(beginning(8)))(c)
					err := inSteps(c, 0, n, func() {
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
			assert.Equal(t, n+1, p.known(n+1), "%s: the list and the one from before the start", name)
			assert.Less(t, time.Since(began), 10*time.Second, name)
			made, _ := p.seen()
			assert.LessOrEqual(t, made, 6, "%s: none begins beside one that gets on", name)
		})
	}
}

// At half that rate a list comes 16 KiB each 0.08 s: two steps take longer than the shortest pause to the next call, which began beside it.
func TestNoCallBeginsBesideOneThatGetsOnSlowly(t *testing.T) {
	const step, members = 80 * time.Millisecond, 8000
	alone := members / 140 * step
	synctest.Test(t, func(t *testing.T) {
		core := make(chan struct{}, 1)
		p := begin(t, 1, pushed, func(*play, string) deed {
			return func(c net.Conn) {
				says(head + chunk(beginning(8)))(c)
				err := inSteps(c, 0, members, func() {
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
		assert.Equal(t, members+1, p.known(members+1), "the list and the one from before the start")
		assert.Less(t, time.Since(began), 2*alone+time.Second)
	})
}

// One that got on beyond its first 0.6 s, and then hangs or trickles, is not waited for, and is found out in 0.6 s.
func TestAListThatGotOnAndHangsIsNotWaitedFor(t *testing.T) {
	for name, breaks := range map[string]deed{"hung": hangs, "trickles": trickles(chunk(" ")), "beats": trickles(chunk("\n"))} {
		for _, n := range []int{600, 1500, 4500} { // 69 KB, which gives no more time yet, 0.17 and 0.5 MB
			var lost time.Duration
			gotOn := func(p *play) deed {
				return func(c net.Conn) {
					says(head + chunk(beginning(8)))(c)
					if inSteps(c, 0, n, func() { time.Sleep(50 * time.Millisecond) }) != nil {
						return
					}
					p.now()
					p.serving.Go(func() { breaks(c) })
					_, _ = c.Read(make([]byte, 1))
					p.mu.Lock()
					lost = time.Duration(time.Now().UnixNano() - p.since.Load())
					p.mu.Unlock()
				}
			}
			synctest.Test(t, func(t *testing.T) {
				p := begin(t, 1, pushed, func(p *play, _ string) deed {
					if p.made > 1 && p.since.Load() > 0 {
						return p.answers
					} else if p.made > 1 {
						return hangs
					}
					return gotOn(p)
				})
				assert.Less(t, p.wait(), pushedNext, "%s, %d members: another begins", name, n)
				synctest.Wait()
				assert.Equal(t, 1, p.router.Believes().Known, "the one from before the start")
			})
			synctest.Test(t, func(t *testing.T) {
				p := begin(t, 1, pushed, func(p *play, _ string) deed {
					if p.made > 1 {
						return hangs
					}
					return gotOn(p)
				})
				time.Sleep(10 * time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				assert.Positive(t, lost)
				assert.LessOrEqual(t, lost, largeOn, "%s, %d members: found out", name, n)
				assert.Greater(t, p.made, 50, "calls go on beside it and after it")
			})
		}
	}
}
