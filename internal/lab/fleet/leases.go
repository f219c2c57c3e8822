package fleet

import (
	"github.com/fxamacker/cbor/v2"

	"ravenlink/internal/members"
	"ravenlink/internal/post"
	"ravenlink/internal/shares"
)

// leases runs the lease tables of internal/shares unchanged, one per sender.
type leases struct {
	w      *World
	tables []*shares.Table
	limits [][]float64
}

func (l *leases) start(w *World) {
	l.w, l.tables, l.limits = w, make([]*shares.Table, w.Senders), make([][]float64, w.Senders)
	for i := range l.tables {
		l.restart(w.events.Now(), i)
	}
}

func (l *leases) restart(now int64, i int) {
	l.tables[i], l.limits[i] = shares.New(l.w.names[i], l.w.names, shares.DefaultTiming()), make([]float64, l.w.Dsts)
	for d := range l.limits[i] {
		l.tables[i].SetLimit(now, dstName(d), l.w.Limit, shares.Listed)
	}
}

func (l *leases) sendAll(from int, messages []post.PeerMessage[shares.Msg]) {
	for _, m := range messages {
		b, err := cbor.Marshal(m.Msg)
		if err != nil {
			panic(err) // cannot happen: a struct of numbers and strings
		}
		l.w.send(from, l.w.senderIndex(m.To), m.Msg, len(b))
	}
}

func (l *leases) tick(now int64, i int) { l.sendAll(i, l.tables[i].Tick(now)) }

func (l *leases) receive(now int64, from, to int, body any) {
	l.sendAll(to, l.tables[to].Receive(now, l.w.names[from], body.(shares.Msg)))
}

func (l *leases) setDemand(now int64, i, d int, perSec float64, waiting int) {
	l.tables[i].SetDemand(now, dstName(d), perSec, waiting)
}

func (l *leases) allow(now int64, i, d int) bool { return l.tables[i].Allow(now, dstName(d)) }

func (l *leases) callDone(now int64, i, d int, ok bool, limit float64) {
	if !ok {
		l.tables[i].RecordRefusal(now, dstName(d))
	}
	if l.limits[i][d] != limit {
		l.limits[i][d] = limit
		l.tables[i].SetLimit(now, dstName(d), limit, shares.Reported)
	}
}

func (l *leases) setView(now int64, i int, v members.View) { l.tables[i].SetView(now, v) }
