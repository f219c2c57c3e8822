package choice

import (
	"cmp"
	"slices"
)

// State of destinations that may be cold, for the sender's next process.

// ColdDst is a destination that may be cold.
type ColdDst struct {
	Dst  int64
	Warm float64 // progress of its slow start from 0 to 1; 0 where it has not answered yet, 1 where only the backlog is to be released
}

// Cold lists the destinations that may be cold by id, each with the least progress of its routes.
func (s *Sender) Cold() (cold []ColdDst) {
	least := map[int64]float64{}
	for dst, warm := range s.coldBefore {
		if !s.KnowsDst(dst) && s.now-s.startAt <= s.rules.WarmUpTime { // its list is late
			least[dst] = warm
		}
	}
	note := func(d *dst, warm float64) {
		if old, known := least[d.id]; !known || warm < old {
			least[d.id] = warm
		}
	}
	for p, d := range s.cold {
		switch {
		case p.recovery.phase == releasing:
			note(d, 1)
		case p.recovery.phase == recovering && p.recovery.proved:
			note(d, s.warm(p, s.now))
		default:
			note(d, 0)
		}
	}
	for p, d := range s.refusing {
		switch {
		case p.share > 0:
		case p.refusalsMeanOutage():
			note(d, 0)
		default:
			note(d, 1)
		}
	}
	for dst, warm := range least {
		cold = append(cold, ColdDst{dst, warm})
	}
	slices.SortFunc(cold, func(a, b ColdDst) int { return cmp.Compare(a.Dst, b.Dst) })
	return cold
}

// ColdChanges counts the changes of the set of destinations that may be cold.
func (s *Sender) ColdChanges() int { return s.coldChanges }

// RestoreCold takes what Cold returned in an earlier process, before any list. Senders restarted during an outage would otherwise meet the
// return with all their queued messages, as if they had never seen it. The downtime of the sender is ignored, as no clock reliably outlasts a
// process: slow start resumes where it was.
func (s *Sender) RestoreCold(cold []ColdDst) {
	s.coldBefore = make(map[int64]float64, len(cold))
	for _, c := range cold {
		s.coldBefore[c.Dst] = c.Warm
	}
}

// applyRestoredCold sets the phase of a receiver's route whose destination an earlier process left cold.
func (s *Sender) applyRestoredCold(r *receiver) {
	warm, cold := s.coldBefore[r.dst.id]
	if !cold || r.route.mayBeCold() || r.route.isUsed() && r.route.lastSuccessAt > 0 || s.now-s.startAt > s.rules.WarmUpTime {
		return
	}
	if warm >= 1 {
		s.enterRecovery(r, releasing)
		return
	}
	s.enterRecovery(r, suspect)
	if warm > 0 && r.route.mayBeCold() {
		s.enterRecovery(r, recovering)
		r.route.recovery.since = s.now - int64(warm*float64(s.rules.WarmUpTime))
	}
}

// recordRefusing records that a route refused a call, so that the next process knows of the backlog behind it.
func (s *Sender) recordRefusing(r *receiver) {
	p := r.route
	if r.placeholder || p.share > 0 {
		return
	}
	if s.refusing[p] == nil || p.refusalRounds <= minFailureRow { // later ones do not change the result of Cold
		s.coldChanges++
	}
	s.refusing[p] = r.dst
}

func (s *Sender) forgetCold(p *route) {
	delete(s.refusing, p)
	if s.cold[p] != nil {
		delete(s.cold, p)
		s.coldChanges++
	}
}
