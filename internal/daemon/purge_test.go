package daemon

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/fleet"
	"ravenlink/internal/spool"
)

func recallAll(e *eraser, tenant fleet.Tenant, cut int64) (ended int64) {
	for open := int64(1); open > 0; {
		var more int64
		more, open = e.Recall(tenant, cut)
		ended += more
	}
	return ended
}

// A purge tells how many messages were ended. Beside 24 busy processes it told 26, 92 or 344 of 600: the recall stopped waiting after 1 s for the
// loader, which had ended some by then and went on, and its count went nowhere. Counters at each place that ends a message showed all 580 at rest
// ended by the recall's own search in those plays, none by a fence met while reading. Here the platform takes no notices at first, so the search
// has to wait in the middle, and the rest does meet the fence as it is read in its turn: nobody counted these either.
func TestAPurgeCountsWhatEndsAfterItStoppedWaiting(t *testing.T) {
	t.Parallel()
	const messages = 5000
	w := restingWorld(t, 50, ok)
	w.prefill(messages, nowhereDst, inAnHour)
	w.mute = true
	tenant := fleet.Tenant{Name: "t", Dst: []int64{nowhereDst}}
	e := newEraser()
	w.run(func(p *Program) { e.p, p.engine.Fenced = p, e.oldMessage })
	cut := e.Mark()
	e.Refuse([]fleet.Cuts{{Tenant: tenant, Held: cut}})
	ended, _ := e.Recall(tenant, cut)
	w.mu.Lock()
	w.mute = false
	w.mu.Unlock()
	require.EqualValues(t, messages, ended+recallAll(e, tenant, cut))
}

// What a start finds behind a fence ends without the decisions hearing of it. That is counted too.
func TestAPurgeCountsWhatAStartGivesUp(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(_ string, _ int, out http.ResponseWriter) { out.WriteHeader(503) })
	s, _, err := spool.Open(w.env("RELAY_STATE"), int64(w.diskMB*0.9e6))
	require.NoError(t, err)
	for _, id := range []string{"a", "b", "c"} {
		require.NoError(t, s.Take(&spool.Message{ID: id, Lane: "notice", Dst: 7, Expires: inAnHour(0).UnixMicro()}))
	}
	require.NoError(t, s.Close())
	tenant := fleet.Tenant{Name: "t", Dst: []int64{7}}
	e := newEraser()
	var cut int64
	w.before = func(p *Program) {
		e.p = p
		cut = e.Mark()
		e.Refuse([]fleet.Cuts{{Tenant: tenant, Held: cut}})
		require.Empty(t, e.giveUp(p.spool.Owed()))
	}
	w.start()
	require.EqualValues(t, 3, recallAll(e, tenant, cut))
	w.soon(func() bool { return len(w.notices) == 3 })
}

func newEraser() *eraser {
	e := &eraser{}
	e.cuts.Store(new([]fleet.Cuts))
	return e
}

// Each order is told of what ended up to its own fence, also where a later one of the tenant is under way.
func TestEachFenceCountsItsOwnEnds(t *testing.T) {
	t.Parallel()
	w := newWorld(t, ok)
	w.writeConfig()
	tenant := fleet.Tenant{Name: "t", Dst: []int64{7}}
	e := newEraser()
	w.before = func(p *Program) { e.p = p }
	w.start()
	early, late := &spool.Message{ID: "a", Dst: 7, Taken: 1}, &spool.Message{ID: "b", Dst: 7, Taken: 2}
	e.Refuse([]fleet.Cuts{{Tenant: tenant, Held: 1}})
	e.Refuse([]fleet.Cuts{{Tenant: tenant, Held: 2}})
	e.p.engine.End(early, 0)
	e.p.engine.End(late, 0)
	e.counted(tenant, 2) // the second order's search found nothing open
	for cut, count := range map[int64]int64{1: 1, 2: 2} {
		ended, open := e.Recall(tenant, cut)
		require.EqualValues(t, count, ended)
		require.Zero(t, open)
	}
	for cut := range int64(2 * mostCounts) {
		e.Refuse([]fleet.Cuts{{Tenant: tenant, Held: cut + 1}})
	}
	require.Len(t, e.ended, mostCounts)
}
