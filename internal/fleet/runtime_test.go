package fleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"ravenlink/internal/links"
	"ravenlink/internal/loopback"
	"ravenlink/internal/members"
	"ravenlink/internal/ranked"
	"ravenlink/internal/routing"
	"ravenlink/internal/shares"
)

const (
	long    = 20 * time.Second // a limit that no good run reaches
	glimpse = 2 * time.Millisecond
	limited = 7 // the destination with a declared limit
	perSec  = 200
)

// desk stands in for a sender's decision module.
type desk struct {
	mu     sync.Mutex
	shares map[int64]float64
	told   map[string]routing.Sight
	floor  float64
}

func (d *desk) Shared(dst int64, perSec float64) {
	ranked.Free("telling the module")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shares[dst] = perSec
}

func (d *desk) Told(receiver string, v routing.Sight) {
	ranked.Free("telling the module")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told[receiver] = v
}

func (d *desk) Floor(perSec float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.floor = perSec
}

func (d *desk) lent(dst int64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shares[dst]
}

func (d *desk) sight(receiver string) (routing.Sight, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, told := d.told[receiver]
	return v, told
}

// one is a sender with its runtime.
type one struct {
	*Runtime
	*desk
	dir   string
	table Table
	ahead atomic.Int64 // ns by which its clock was put on
	stop  func()
}

func (o *one) run(t *testing.T) {
	t.Helper()
	o.desk = &desk{shares: map[int64]float64{}, told: map[string]routing.Sight{}}
	r, err := Open(o.table, o.dir, zap.NewNop(), o.desk)
	require.NoError(t, err)
	real := r.clock
	r.clock = func() time.Duration { return real() + time.Duration(o.ahead.Load()) }
	o.Runtime = r
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	o.stop = func() { cancel(); <-done }
	t.Cleanup(o.stop)
}

// fleetOf starts so many senders that reach one another on loopback. Their ports are held: one that was given back may be drawn again.
func fleetOf(t *testing.T, n int) (all []*one) {
	t.Helper()
	var at []string
	for range n {
		port, err := loopback.Reserve("127.0.0.1")
		require.NoError(t, err)
		t.Cleanup(port.Release)
		at = append(at, port.Addr.String())
	}
	for i := range n {
		o := &one{dir: t.TempDir(), table: Table{Name: "east", Self: fmt.Sprint("n", i), Listen: at[i], MostMB: 1,
			Limits: &Limits{Declared: []Declared{{limited, perSec}}}, Verdicts: &Verdicts{}}}
		for j := range n {
			if j != i {
				o.table.Peers = append(o.table.Peers, links.PeerTable{Name: fmt.Sprint("n", j), Address: at[j]})
			}
		}
		o.table.Fill()
		o.table.Check(func(setting, what string) { t.Error(setting, what) })
		o.run(t)
		all = append(all, o)
	}
	return all
}

func (o *one) alive() int {
	o.watch.mu.Lock()
	defer o.watch.mu.Unlock()
	return len(o.watch.fleet.View().Alive())
}

func together(t *testing.T, all []*one) {
	t.Helper()
	for _, o := range all {
		require.Eventually(t, func() bool { return o.alive() == len(all) && !o.hearsay.learning.Load() }, long, glimpse)
	}
}

func TestThreeSendersStayWithinOneLimit(t *testing.T) {
	all := fleetOf(t, 3)
	together(t, all)
	for _, o := range all {
		for range 50 {
			o.Came(limited)
		}
		assert.True(t, o.May(9), "no limit is known of it")
		require.Eventually(t, func() bool { return o.lent(limited) > 0 }, long, glimpse, "each gets some")
	}
	begun, spent := time.Now(), make([]int, 3)
	for time.Since(begun) < 1500*time.Millisecond {
		for i, o := range all {
			if o.May(limited) {
				spent[i]++
				o.Began(limited)
				o.Paused(limited)
			}
		}
		time.Sleep(glimpse)
	}
	took := time.Since(begun)
	sum := spent[0] + spent[1] + spent[2]
	assert.LessOrEqual(t, float64(sum), perSec*took.Seconds()+2*shares.Burst(perSec), "%v", spent)
	for i := range spent {
		assert.Positive(t, spent[i])
	}
}

func TestASenderThatSleptSpendsNothingOfItsLease(t *testing.T) {
	all := fleetOf(t, 3)
	together(t, all)
	o := all[0]
	for range 50 {
		o.Came(limited)
	}
	s := o.limits.shard(name(limited))
	require.Eventually(t, func() bool {
		s.mu.Lock() // its ticks wait, as they do in a process that is stopped
		defer s.mu.Unlock()
		share, until := s.table.Share(o.now(), name(limited))
		if share > perSec || until <= o.now()+shares.Usual().Renew || !s.table.Spend(o.now(), name(limited)) {
			return false // no lease yet, or all of it is spent
		}
		o.ahead.Add(int64(5 * time.Second))
		assert.False(t, s.table.Spend(o.now(), name(limited)))
		return true
	}, long, glimpse)
}

func TestWhatOneSawTheOthersAreTold(t *testing.T) {
	all := fleetOf(t, 3)
	together(t, all)
	all[0].Saw("s-1", routing.Sight{Kind: routing.SeenWait, Dst: 5, Wait: 9_000_000})
	all[0].Saw("s-2", routing.Sight{Kind: routing.SeenDown, Dst: 5})
	for _, o := range all[1:] {
		require.Eventually(t, func() bool { _, wait := o.sight("s-1"); _, down := o.sight("s-2"); return wait && down }, long, glimpse)
		v, _ := o.sight("s-1")
		assert.Equal(t, routing.SeenWait, v.Kind)
		assert.LessOrEqual(t, v.Wait, int64(9_000_000), "what is left of it")
		assert.Positive(t, v.Wait)
		v, _ = o.sight("s-2")
		assert.Equal(t, routing.SeenDown, v.Kind)
		assert.Equal(t, int64(5), v.Dst)
	}
	_, own := all[0].sight("s-1")
	assert.False(t, own, "its own sight is no news to it")
}

func TestAnotherStartOnTheFolderIsALaterIncarnationThatRemembers(t *testing.T) {
	all := fleetOf(t, 2)
	together(t, all)
	o := all[0]
	o.Saw("s-2", routing.Sight{Kind: routing.SeenDown, Dst: 5})
	require.Eventually(t, func() bool { _, down := all[1].sight("s-2"); return down }, long, glimpse)
	before := o.id
	o.stop()
	require.Eventually(t, func() bool {
		all[1].watch.mu.Lock()
		defer all[1].watch.mu.Unlock()
		m, _ := all[1].watch.fleet.View().Member("n0")
		return m.State == members.Left
	}, long, glimpse, "it said so")
	o.run(t)
	assert.Equal(t, before.Folder, o.id.Folder)
	assert.Equal(t, before.Incarnation+1, o.id.Incarnation)
	o.hearsay.mu.Lock()
	assert.NotZero(t, o.hearsay.table.Len())
	o.hearsay.mu.Unlock()
	together(t, all)
	o.countsAlive(t, "n1")
}

// countsAlive waits for the count of a member's state, which must be there: alive is 0, as one that is missing. Danger: the view that
// together looks at is given to the parts and the counts on a worker of its own, after the change, so it is no word on the counts.
func (o *one) countsAlive(t *testing.T, member string) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, values, err := o.counts.read()
		require.NoError(t, err)
		state, told := values["state_"+member]
		return told && state == float64(members.Alive)
	}, long, glimpse, "%s counts as alive", member)
}

func countsOf(o *one, name string) (float64, error) {
	_, values, err := o.counts.read()
	return values[name], err
}

func TestAnAddressThatIsTakenLeavesNothingBehind(t *testing.T) {
	port, err := loopback.Reserve("127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(port.Release)
	l, err := port.Listen()
	require.NoError(t, err)
	defer l.Close()
	o := &one{dir: t.TempDir(), table: Table{Name: "east", Self: "a", Listen: port.Addr.String(), MostMB: 1}}
	o.table.Fill()
	_, err = Open(o.table, o.dir, zap.NewNop(), &desk{})
	require.ErrorContains(t, err, "links")
	require.NoError(t, l.Close())
	o.run(t) // the folder is free again
	assert.Equal(t, uint64(2), o.id.Incarnation)
}

func TestBadLettersChangeNothingAndAreCounted(t *testing.T) {
	all := fleetOf(t, 2)
	together(t, all)
	o := all[0]
	for _, k := range []links.Kind{links.Members, links.Shares, links.Verdicts} {
		o.heard(links.Hello{Name: "n1"}, links.Frame{Kind: k, Body: []byte{0xff, 1, 2}})
		n, err := countsOf(o, "letters_bad_"+k.String())
		require.NoError(t, err)
		assert.Equal(t, 1.0, n)
	}
	o.heard(links.Hello{Name: "n1"}, links.Frame{Kind: links.Purge, Body: []byte{1}})
	assert.Equal(t, 2, o.alive())
}

func TestAJoinerTricklesUntilItHasLearned(t *testing.T) {
	all := fleetOf(t, 1)
	o := all[0]
	require.Eventually(t, func() bool { return !o.hearsay.learning.Load() }, long, glimpse)
	o.hearsay.learning.Store(true) // until the next tick
	let := 0
	for range 10 * trickle {
		if o.hearsay.slowly.Allow() {
			let++
		}
	}
	assert.Less(t, let, 3*trickle)
	require.Eventually(t, func() bool { return o.May(3) }, long, glimpse)
}

// BenchmarkMessage is what the fleet adds to one message that is delivered at once.
func BenchmarkMessage(b *testing.B) {
	o := &one{dir: b.TempDir(), table: Table{Name: "east", Self: "a", Listen: "127.0.0.1:0", MostMB: 1, Limits: &Limits{Declared: []Declared{{limited, 1e6}}}}}
	o.table.Fill()
	r, err := Open(o.table, o.dir, zap.NewNop(), &desk{shares: map[int64]float64{}})
	require.NoError(b, err)
	defer r.pool.Close()
	for b.Loop() {
		r.Came(3)
		r.Began(3)
		_ = r.May(3)
		r.Paused(3)
		r.Ended(3)
	}
}
