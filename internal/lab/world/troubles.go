package world

import (
	"cmp"
	"slices"

	"ravenlink/internal/lab/draw"
	"ravenlink/internal/lab/receivers"
	"ravenlink/internal/lab/scenario"
)

const (
	lettingGo   = 2 * second // µs that a sender restarted by plan works on after clients are led away
	usualDown   = 3 * second // µs that a sender is away where a trouble does not say
	usualSender = 0.5        // share of the senders that a trouble strikes, likewise
)

// trouble is one that lasts, and what ends with it.
type trouble struct {
	scenario.Trouble
	dsts    []*destination
	senders []int
	effect  *receivers.Effect
	struck  []*receivers.Receiver
	cut     *cut
}

var effects = map[scenario.Word]receivers.EffectKind{"refuse": receivers.Refuse, "silent": receivers.Silence, "hang": receivers.Hang,
	"pause": receivers.Pause, "slow": receivers.Slow, "errors": receivers.Errors, "shut": receivers.Shut, "reset": receivers.Resets,
	"lost": receivers.Lost, "limit": receivers.LimitTo}

func (w *World) planTroubles() {
	for i, t := range w.sc.Troubles {
		at := w.Now() + int64(t.At)
		w.At(at, w, evTroubleBegins, uint64(i))
		if t.For > 0 {
			w.At(at+int64(t.For), w, evTroubleEnds, uint64(i))
		}
	}
}

// where finds what a trouble strikes. The draw is the trouble's own, so others do not shift it.
func (w *World) where(i int) *trouble {
	t := &trouble{Trouble: w.sc.Troubles[i]}
	r := draw.Stream(w.seed, "trouble", i)
	switch {
	case len(t.Destination) > 0:
		for _, n := range t.Destination {
			t.dsts = append(t.dsts, w.dsts[n-1])
		}
	case t.OfKind != "":
		kind := slices.IndexFunc(w.sc.Kinds, func(k scenario.Kind) bool { return k.Name == t.OfKind })
		for _, d := range w.dsts {
			if d.kind == kind {
				t.dsts = append(t.dsts, d)
			}
		}
	case t.Share > 0:
		for _, n := range drawn(r, len(w.dsts), t.Share) {
			t.dsts = append(t.dsts, w.dsts[n])
		}
	default:
		t.dsts = w.dsts
	}
	t.senders = drawn(r, len(w.senders), cmp.Or(t.Senders, usualSender))
	return t
}

// each calls f for the receivers that a trouble strikes.
func (t *trouble) each(f func(*receiver)) {
	for _, d := range t.dsts {
		n := len(d.recvs)
		if t.Receiver > 0 {
			n = min(n, t.Receiver)
		}
		for _, x := range slices.Clone(d.recvs[:n]) {
			f(x)
		}
	}
}

func (w *World) troubleBegins(i int) {
	t := w.where(i)
	w.active[i] = t
	w.say(event{Event: "trouble begins", Text: t.String()})
	w.tally.trouble(t, true)
	if kind, isEffect := effects[t.Kind]; isEffect {
		until := w.Now() + int64(t.For)
		if t.For == 0 {
			until = w.end
		}
		t.effect = &receivers.Effect{Kind: kind, Size: t.Size, Until: until, ProbesFine: t.ProbesFine}
		w.strike(t)
		return
	}
	switch t.Kind {
	case "drain":
		t.each(func(x *receiver) { w.list(x, false) })
	case "replace":
		t.each(w.replace)
	case "cut":
		t.cut = newCut(draw.Stream(w.seed, "cut", i), len(w.senders), cmp.Or(t.Senders, usualSender), t.dsts)
		w.cuts = append(w.cuts, t.cut)
	case "kill":
		for _, n := range t.senders {
			w.kill(w.senders[n], int64(t.Down), int64(w.sc.Front.Notice))
		}
	case "roll":
		w.roll(t)
	case "blind":
		w.blind++
	case "clock":
		for _, n := range t.senders {
			w.senders[n].wind()
			w.senders[n].drift += t.Size
		}
	case "stale":
		for _, n := range t.senders {
			w.senders[n].stale++
		}
	case "lie":
		t.each(func(x *receiver) { x.weight *= t.Size; w.changed(x) })
	case "burst":
		for _, d := range t.dsts {
			d.burst *= t.Size
		}
		w.clients.reweigh()
	case "notes":
		w.noteCut = 1 - (1-w.noteCut)*(1-t.Size)
	}
}

func (w *World) strike(t *trouble) {
	if t.effect.Kind == receivers.Shut { // of the route as a whole: once for each
		seen := map[*receivers.Route]bool{}
		t.each(func(x *receiver) {
			if rt := x.model.Route; !seen[rt] {
				seen[rt] = true
				t.struck = append(t.struck, x.model)
			}
		})
	} else {
		t.each(func(x *receiver) { t.struck = append(t.struck, x.model) })
	}
	for _, m := range t.struck {
		m.Strike(t.effect)
	}
}

func (w *World) troubleEnds(i int) {
	t := w.active[i]
	if t == nil {
		return
	}
	delete(w.active, i)
	w.say(event{Event: "trouble ends", Text: t.String()})
	w.tally.trouble(t, false)
	for _, m := range t.struck {
		m.Relieve(t.effect)
	}
	switch t.Kind {
	case "drain":
		t.each(func(x *receiver) { w.list(x, true) })
	case "cut":
		w.cuts = slices.DeleteFunc(w.cuts, func(c *cut) bool { return c == t.cut })
	case "blind":
		if w.blind--; w.blind == 0 {
			for _, s := range w.senders {
				s.believed = s.up
			}
		}
	case "clock":
		for _, n := range t.senders {
			w.senders[n].wind()
			w.senders[n].drift -= t.Size
		}
	case "stale":
		for _, n := range t.senders {
			w.senders[n].stale--
			w.senders[n].catchUp()
		}
	case "lie":
		t.each(func(x *receiver) { x.weight /= t.Size; w.changed(x) })
	case "burst":
		for _, d := range t.dsts {
			d.burst /= t.Size
		}
		w.clients.reweigh()
	case "notes":
		if t.Size < 1 {
			w.noteCut = 1 - (1-w.noteCut)/(1-t.Size)
		} else {
			w.noteCut = 0
		}
	}
}

func (w *World) list(x *receiver, listed bool) {
	if x.listed != listed {
		x.listed = listed
		w.changed(x)
	}
}

// replace has a new receiver answer at the address of an old one: cold, and under an id of its own. Who knows the old
// id only still reaches the new one.
func (w *World) replace(x *receiver) {
	old := x.model
	old.Retire()
	rt := old.Route
	if w.sc.Kinds[x.dst.kind].Apart {
		k := w.sc.Kinds[x.dst.kind]
		rt = w.newRoute(x.dst, k.Limit.Model(max(old.Route.Rate(), 1e-9)))
	}
	heir := w.newReceiver(x.dst, old.Nature, rt, x.zone)
	heir.weight = x.weight
	heir.model.Start()
	x.model = heir.model
	i := slices.Index(x.dst.recvs, x)
	x.dst.recvs[i] = heir
	if x.dst.route == old.Route {
		x.dst.route = rt
	}
	w.list(x, false)
	w.changed(heir)
}

// kill ends a sender's process at once and starts it again later.
func (w *World) kill(s *sender, down, notice int64) {
	if !s.up {
		return
	}
	s.die()
	w.At(w.Now()+notice, s, evNotice, s.life)
	w.At(w.Now()+cmp.Or(down, usualDown), s, evUp, s.life)
}

// roll restarts senders by plan, one after another over the trouble's time: the front leads clients away first.
func (w *World) roll(t *trouble) {
	step := int64(t.For) / int64(max(1, len(t.senders)))
	for i, n := range t.senders {
		at := w.Now() + int64(i)*step
		r := &restart{w: w, s: w.senders[n], down: int64(t.Down)}
		w.At(at, r, 0, 0)
		w.At(at+lettingGo, r, 1, 0)
	}
}

type restart struct {
	w    *World
	s    *sender
	down int64
}

// Handle leads clients away, then ends the process.
func (r *restart) Handle(kind uint8, _ uint64) {
	if kind == 0 {
		r.s.believed = r.s.believed && r.w.blind > 0
		return
	}
	r.w.kill(r.s, r.down, 1)
}
