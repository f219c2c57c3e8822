package daemon

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/fleet"
	"ravenlink/internal/spool"
)

func recallUntilDone(e *eraser, tenant fleet.Tenant, cutoff int64) (ended int64) {
	for open := int64(1); open > 0; {
		var more int64
		more, open = e.Recall(tenant, cutoff)
		ended += more
	}
	return ended
}

// Guards against a purge that reports too few ended messages. Beside 24 busy processes it reported 26, 92 or 344 of 600: the recall stopped waiting
// for the loader after 1 s, and what the loader ended after that was not counted. In those runs, counters at each place that ends a message showed
// all 580 spilled messages ended by the recall's own scan, none by a fence during loading. Here the platform first accepts no notices, so the scan
// blocks midway and the rest ends at the fence when loaded; these were not counted either.
func TestPurgeCountsMessagesEndedAfterRecallTimeout(t *testing.T) {
	t.Parallel()
	const messages = 5000
	w := newBacklogEnv(t, 50, ok)
	w.prefill(messages, unservedDst, expiresInAnHour)
	w.hangPosts = true
	tenant := fleet.Tenant{Name: "t", Dst: []int64{unservedDst}}
	e := newEraser()
	w.runWithBacklog(func(p *Program) { e.p, p.engine.Fenced = p, e.fencedMessage })
	cutoff := e.NextCutoff()
	e.SetCutoffs([]fleet.Cutoffs{{Tenant: tenant, Pending: cutoff}})
	ended, _ := e.Recall(tenant, cutoff)
	w.mu.Lock()
	w.hangPosts = false
	w.mu.Unlock()
	require.EqualValues(t, messages, ended+recallUntilDone(e, tenant, cutoff))
}

// Messages that a start finds behind a fence end without the decision module; they are counted too.
func TestPurgeCountsMessagesAbandonedAtStart(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, func(_ string, _ int, out http.ResponseWriter) { out.WriteHeader(503) })
	s, _, err := spool.Open(w.env("RELAY_STATE"), int64(w.diskMB*0.9e6))
	require.NoError(t, err)
	for _, id := range []string{"a", "b", "c"} {
		require.NoError(t, s.Accept(&spool.Message{ID: id, Class: "notice", Dst: 7, Expires: expiresInAnHour(0).UnixMicro()}))
	}
	require.NoError(t, s.Close())
	tenant := fleet.Tenant{Name: "t", Dst: []int64{7}}
	e := newEraser()
	var cutoff int64
	w.prepare = func(p *Program) {
		e.p = p
		cutoff = e.NextCutoff()
		e.SetCutoffs([]fleet.Cutoffs{{Tenant: tenant, Pending: cutoff}})
		require.Empty(t, e.abandonFenced(p.spool.Pending()))
	}
	w.start()
	require.EqualValues(t, 3, recallUntilDone(e, tenant, cutoff))
	w.eventually(func() bool { return len(w.notices) == 3 })
}

func newEraser() *eraser {
	e := &eraser{}
	e.cutoffs.Store(new([]fleet.Cutoffs))
	return e
}

// Each order reports the messages ended up to its own fence, also while a later order of the tenant is in progress.
func TestEachFenceCountsItsOwnMessages(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, ok)
	w.writeConfig()
	tenant := fleet.Tenant{Name: "t", Dst: []int64{7}}
	e := newEraser()
	w.prepare = func(p *Program) { e.p = p }
	w.start()
	early, late := &spool.Message{ID: "a", Dst: 7, AcceptSeq: 1}, &spool.Message{ID: "b", Dst: 7, AcceptSeq: 2}
	e.SetCutoffs([]fleet.Cutoffs{{Tenant: tenant, Pending: 1}})
	e.SetCutoffs([]fleet.Cutoffs{{Tenant: tenant, Pending: 2}})
	e.p.engine.AbandonStored(early, 0)
	e.p.engine.AbandonStored(late, 0)
	e.releaseCounters(tenant, 2) // the scan of the second order found nothing in flight
	for cutoff, count := range map[int64]int64{1: 1, 2: 2} {
		ended, open := e.Recall(tenant, cutoff)
		require.EqualValues(t, count, ended)
		require.Zero(t, open)
	}
	for cutoff := range int64(2 * maxCounters) {
		e.SetCutoffs([]fleet.Cutoffs{{Tenant: tenant, Pending: cutoff + 1}})
	}
	require.Len(t, e.counters, maxCounters)
}
