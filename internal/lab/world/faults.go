package world

import (
	"cmp"
	"slices"

	"ravenlink/internal/lab/draw"
	"ravenlink/internal/lab/receivers"
	"ravenlink/internal/lab/scenario"
)

const (
	drainTime          = 2 * second // µs between taking a sender out of the load balancer and its planned restart
	defaultDowntime    = 3 * second // µs; downtime of a sender where a fault does not set one
	defaultSenderShare = 0.5        // share of the senders that a fault affects, likewise
)

// activeFault is a fault of the scenario with its targets and the effects to undo when it ends.
type activeFault struct {
	scenario.Fault
	dsts          []*destination
	senders       []int
	receiverFault *receivers.Fault
	affected      []*receivers.Receiver
	partition     *partition
}

var receiverFaultKinds = map[scenario.Enum]receivers.FaultKind{"refuse": receivers.Down, "silent": receivers.Unreachable, "hang": receivers.Hang,
	"pause": receivers.Pause, "slow": receivers.Slow, "errors": receivers.Errors, "shut": receivers.RefuseAll, "reset": receivers.ResetConns,
	"lost": receivers.LoseAnswers, "limit": receivers.ReduceLimit}

func (w *World) scheduleFaults() {
	for i, f := range w.sc.Faults {
		at := w.Now() + int64(f.At)
		w.At(at, w, evFaultBegins, uint64(i))
		if f.For > 0 {
			w.At(at+int64(f.For), w, evFaultEnds, uint64(i))
		}
	}
}

// resolveFault determines the targets of a fault. Each fault draws from its own random stream, so that other faults
// do not change its targets.
func (w *World) resolveFault(i int) *activeFault {
	f := &activeFault{Fault: w.sc.Faults[i]}
	r := draw.Stream(w.seed, "trouble", i)
	switch {
	case len(f.Destinations) > 0:
		for _, n := range f.Destinations {
			f.dsts = append(f.dsts, w.dsts[n-1])
		}
	case f.OfKind != "":
		kind := slices.IndexFunc(w.sc.Kinds, func(k scenario.Kind) bool { return k.Name == f.OfKind })
		for _, d := range w.dsts {
			if d.kind == kind {
				f.dsts = append(f.dsts, d)
			}
		}
	case f.DestinationShare > 0:
		for _, n := range sampleIndices(r, len(w.dsts), f.DestinationShare) {
			f.dsts = append(f.dsts, w.dsts[n])
		}
	default:
		f.dsts = w.dsts
	}
	f.senders = sampleIndices(r, len(w.senders), cmp.Or(f.SenderShare, defaultSenderShare))
	return f
}

// eachReceiver calls visit for the receivers that the fault affects.
func (f *activeFault) eachReceiver(visit func(*receiver)) {
	for _, d := range f.dsts {
		n := len(d.recvs)
		if f.MaxReceivers > 0 {
			n = min(n, f.MaxReceivers)
		}
		for _, x := range slices.Clone(d.recvs[:n]) {
			visit(x)
		}
	}
}

func (w *World) beginFault(i int) {
	f := w.resolveFault(i)
	w.activeFaults[i] = f
	w.emit(event{Event: "trouble begins", Text: f.String()})
	w.tally.markFault(f, true)
	if kind, isReceiverFault := receiverFaultKinds[f.Kind]; isReceiverFault {
		until := w.Now() + int64(f.For)
		if f.For == 0 {
			until = w.end
		}
		f.receiverFault = &receivers.Fault{Kind: kind, Magnitude: f.Magnitude, Until: until, ProbesSucceed: f.ProbesSucceed}
		w.applyReceiverFault(f)
		return
	}
	switch f.Kind {
	case "drain":
		f.eachReceiver(func(x *receiver) { w.setListed(x, false) })
	case "replace":
		f.eachReceiver(w.replace)
	case "cut":
		f.partition = newPartition(draw.Stream(w.seed, "cut", i), len(w.senders), cmp.Or(f.SenderShare, defaultSenderShare), f.dsts)
		w.partitions = append(w.partitions, f.partition)
	case "kill":
		for _, n := range f.senders {
			w.killSender(w.senders[n], int64(f.Downtime), int64(w.sc.LoadBalancer.DetectionDelay))
		}
	case "roll":
		w.rollingRestart(f)
	case "blind":
		w.blindFaults++
	case "clock":
		for _, n := range f.senders {
			w.senders[n].advanceClock()
			w.senders[n].clockDrift += f.Magnitude
		}
	case "stale":
		for _, n := range f.senders {
			w.senders[n].staleFaults++
		}
	case "lie":
		f.eachReceiver(func(x *receiver) { x.weight *= f.Magnitude; w.announceChange(x) })
	case "burst":
		for _, d := range f.dsts {
			d.burst *= f.Magnitude
		}
		w.clients.updateWeights()
	case "notes":
		w.noteLoss = 1 - (1-w.noteLoss)*(1-f.Magnitude)
	}
}

func (w *World) applyReceiverFault(f *activeFault) {
	if f.receiverFault.Kind == receivers.RefuseAll { // affects the whole route, so it is applied once per route
		seen := map[*receivers.Route]bool{}
		f.eachReceiver(func(x *receiver) {
			if rt := x.model.Route; !seen[rt] {
				seen[rt] = true
				f.affected = append(f.affected, x.model)
			}
		})
	} else {
		f.eachReceiver(func(x *receiver) { f.affected = append(f.affected, x.model) })
	}
	for _, m := range f.affected {
		m.AddFault(f.receiverFault)
	}
}

func (w *World) endFault(i int) {
	f := w.activeFaults[i]
	if f == nil {
		return
	}
	delete(w.activeFaults, i)
	w.emit(event{Event: "trouble ends", Text: f.String()})
	w.tally.markFault(f, false)
	for _, m := range f.affected {
		m.RemoveFault(f.receiverFault)
	}
	switch f.Kind {
	case "drain":
		f.eachReceiver(func(x *receiver) { w.setListed(x, true) })
	case "cut":
		w.partitions = slices.DeleteFunc(w.partitions, func(p *partition) bool { return p == f.partition })
	case "blind":
		if w.blindFaults--; w.blindFaults == 0 {
			for _, s := range w.senders {
				s.believedUp = s.up
			}
		}
	case "clock":
		for _, n := range f.senders {
			w.senders[n].advanceClock()
			w.senders[n].clockDrift -= f.Magnitude
		}
	case "stale":
		for _, n := range f.senders {
			w.senders[n].staleFaults--
			w.senders[n].deliverMissedChanges()
		}
	case "lie":
		f.eachReceiver(func(x *receiver) { x.weight /= f.Magnitude; w.announceChange(x) })
	case "burst":
		for _, d := range f.dsts {
			d.burst /= f.Magnitude
		}
		w.clients.updateWeights()
	case "notes":
		if f.Magnitude < 1 {
			w.noteLoss = 1 - (1-w.noteLoss)/(1-f.Magnitude)
		} else {
			w.noteLoss = 0
		}
	}
}

func (w *World) setListed(x *receiver, listed bool) {
	if x.listed != listed {
		x.listed = listed
		w.announceChange(x)
	}
}

// replace starts a new, cold receiver with a new id at the address of an old one. Senders that only know the old id
// still reach the new receiver.
func (w *World) replace(x *receiver) {
	old := x.model
	old.Retire()
	rt := old.Route
	if w.sc.Kinds[x.dst.kind].PerReceiver {
		k := w.sc.Kinds[x.dst.kind]
		rt = w.newRoute(x.dst, k.Limit.Model(max(old.Route.Rate(), 1e-9)))
	}
	successor := w.newReceiver(x.dst, old.Config, rt, x.zone)
	successor.weight = x.weight
	successor.model.StartCold()
	x.model = successor.model
	i := slices.Index(x.dst.recvs, x)
	x.dst.recvs[i] = successor
	if x.dst.route == old.Route {
		x.dst.route = rt
	}
	w.setListed(x, false)
	w.announceChange(successor)
}

// killSender ends a sender's process at once and restarts it later.
func (w *World) killSender(s *sender, downtime, detectionDelay int64) {
	if !s.up {
		return
	}
	s.crash()
	w.At(w.Now()+detectionDelay, s, evDownDetected, s.incarnation)
	w.At(w.Now()+cmp.Or(downtime, defaultDowntime), s, evRestart, s.incarnation)
}

// rollingRestart restarts senders one after another over the duration of the fault. The load balancer stops sending to
// each one before its restart.
func (w *World) rollingRestart(f *activeFault) {
	step := int64(f.For) / int64(max(1, len(f.senders)))
	for i, n := range f.senders {
		at := w.Now() + int64(i)*step
		r := &restart{w: w, target: w.senders[n], downtime: int64(f.Downtime)}
		w.At(at, r, 0, 0)
		w.At(at+drainTime, r, 1, 0)
	}
}

// restart is the planned restart of one sender.
type restart struct {
	w        *World
	target   *sender
	downtime int64
}

// Handle implements loop.Handler: the first event takes the sender out of the load balancer, the second ends its process.
func (r *restart) Handle(kind uint8, _ uint64) {
	if kind == 0 {
		r.target.believedUp = r.target.believedUp && r.w.blindFaults > 0
		return
	}
	r.w.killSender(r.target, r.downtime, 1)
}
