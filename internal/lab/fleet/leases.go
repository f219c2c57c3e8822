package fleet

import (
	"github.com/fxamacker/cbor/v2"

	"ravenlink/internal/members"
	"ravenlink/internal/post"
	"ravenlink/internal/shares"
)

// leases is internal/shares as it is.
type leases struct {
	w     *World
	t     []*shares.Table
	limit [][]float64
}

func (l *leases) begin(w *World) {
	l.w, l.t, l.limit = w, make([]*shares.Table, w.Senders), make([][]float64, w.Senders)
	for i := range l.t {
		l.restarted(w.l.Now(), i)
	}
}

func (l *leases) restarted(now int64, i int) {
	l.t[i], l.limit[i] = shares.New(l.w.names[i], l.w.names, shares.Usual()), make([]float64, l.w.Dsts)
	for d := range l.limit[i] {
		l.t[i].Limit(now, dstName(d), l.w.Limit, shares.Listed)
	}
}

func (l *leases) post(from int, ls []post.Letter[shares.Msg]) {
	for _, x := range ls {
		b, err := cbor.Marshal(x.Msg)
		if err != nil {
			panic(err) // a struct of numbers and strings
		}
		l.w.send(from, l.w.index(x.To), x.Msg, len(b))
	}
}

func (l *leases) turn(now int64, i int) { l.post(i, l.t[i].Tick(now)) }

func (l *leases) heard(now int64, from, to int, m any) {
	l.post(to, l.t[to].Heard(now, l.w.names[from], m.(shares.Msg)))
}

func (l *leases) need(now int64, i, d int, perSec float64, n int) {
	l.t[i].Need(now, dstName(d), perSec, n)
}

func (l *leases) may(now int64, i, d int) bool { return l.t[i].Spend(now, dstName(d)) }

func (l *leases) told(now int64, i, d int, ok bool, limit float64) {
	if !ok {
		l.t[i].Refused(now, dstName(d))
	}
	if l.limit[i][d] != limit {
		l.limit[i][d] = limit
		l.t[i].Limit(now, dstName(d), limit, shares.Told)
	}
}

func (l *leases) viewed(now int64, i int, v members.View) { l.t[i].View(now, v) }
