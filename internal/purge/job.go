package purge

// Phase is the progress of one sender's job for an order. All changes go through setPhase.
type Phase uint8

// Phases of a job, in order.
const (
	Fencing   Phase = iota // the fence is being set
	Fenced                 // the fence is on disk and older data is rejected
	Recalling              // pending messages are recalled; legs in flight run to their outcome
	Erasing                // files are being rewritten
	Checking               // files are being read back
	Verified               // no data is left, and this is recorded on disk
	Recorded               // the coordinator has recorded the confirmation
)

func (f Phase) String() string {
	return [...]string{"told", "fenced", "ending", "erasing", "checking", "verified", "done"}[f]
}

// phaseTransitions lists the allowed changes. A job goes back only when old data turns up, when a restart repeats work, or when a fence
// learned without its order has to be set anew.
var phaseTransitions = map[Phase][]Phase{
	Fencing:   {Fencing, Fenced},
	Fenced:    {Recalling, Fencing},
	Recalling: {Erasing, Fenced, Fencing},
	Erasing:   {Checking, Fenced, Fencing},
	Checking:  {Verified, Erasing, Fenced, Fencing},
	Verified:  {Recorded, Fenced, Fencing},
	Recorded:  {Fenced, Fencing},
}

// JobSnapshot is the persistent part of a job.
type JobSnapshot struct {
	Key    Key    `cbor:"1,keyasint"`
	Kinds  Kinds  `cbor:"2,keyasint"`
	Epoch  Epoch  `cbor:"3,keyasint"`
	Phase  Phase  `cbor:"4,keyasint"`
	Cutoff int64  `cbor:"5,keyasint"`
	Counts Counts `cbor:"6,keyasint"`
}

// job is the work of this sender for one order.
type job struct {
	JobSnapshot
	round   uint64 // identifies the action in flight; results of earlier ones are ignored
	retryAt int64  // 0: no retry is scheduled
	cause   string // why the job is not making progress
}

// setPhase changes the phase of a job and starts the action of the new phase.
func (p *Machine) setPhase(j *job, to Phase) {
	allowed := false
	for _, next := range phaseTransitions[j.Phase] {
		allowed = allowed || next == to
	}
	if !allowed {
		p.logf("purge %s: %s does not become %s", j.Key, j.Phase, to)
		return
	}
	j.Phase, j.cause, j.retryAt, j.round = to, "", 0, 0
	p.effects.Save = true
	p.startAction(j)
}

// startAction starts the action that belongs to the phase of a job.
func (p *Machine) startAction(j *job) {
	kind, any := map[Phase]ActionKind{Fencing: Fence, Recalling: Recall, Erasing: Erase, Checking: Verify}[j.Phase]
	switch {
	case j.Phase == Fenced:
		p.setPhase(j, Recalling)
		return
	case !any:
		return
	case !p.tenants[j.Key.Tenant]:
		j.cause, j.retryAt = "tenant not listed here", p.now+retryInterval
		return
	}
	p.round++
	j.round = p.round
	p.effects.Actions = append(p.effects.Actions, Action{Kind: kind, Key: j.Key, Round: j.round, Kinds: j.Kinds, Cutoff: j.Cutoff})
}

// resume continues a job after a restart.
func (p *Machine) resume(j *job) {
	switch j.Phase {
	case Fencing:
		p.startAction(j)
	case Fenced:
		p.setPhase(j, Recalling)
	case Recalling, Erasing, Checking:
		p.setPhase(j, Fenced)
	case Verified, Recorded:
	}
}

func (p *Machine) retryIfDue(j *job) {
	if j.retryAt > 0 && p.now >= j.retryAt {
		j.retryAt = 0
		p.startAction(j)
	}
}

// HandleResult handles the result of an action.
func (p *Machine) HandleResult(now int64, d ActionResult) Effects {
	return p.handle(now, func() {
		if d.Kind == Post {
			p.noticeHandled(d)
			return
		}
		j := p.jobs[d.Key]
		if j == nil || j.round != d.Round {
			return
		}
		if d.Failure != "" {
			j.Counts.add(d.Counts)
			j.cause, j.retryAt = d.Failure, p.now+retryInterval
			p.logf("purge %s: %s: %s", j.Key, j.Phase, d.Failure)
			p.report(j)
			return
		}
		p.advance(j, d)
		p.report(j)
	})
}

func (p *Machine) advance(j *job, d ActionResult) {
	j.Counts.add(d.Counts)
	switch {
	case j.Phase == Fencing && d.Kind == Fence:
		j.Cutoff = d.Cutoff
		f := p.fenceOf(j.Key.Tenant)
		j.Kinds.forEach(func(i int) { f.positions[i].raise(j.Epoch, d.Cutoff) })
		p.setPhase(j, Fenced)
	case j.Phase == Recalling && d.Kind == Recall:
		p.setPhase(j, Erasing)
	case j.Phase == Erasing && d.Kind == Erase:
		p.setPhase(j, Checking)
	case j.Phase == Checking && d.Kind == Verify && d.Remaining > 0:
		p.logf("purge %s: data left in %d places, erased again", j.Key, d.Remaining)
		p.setPhase(j, Erasing)
	case j.Phase == Checking && d.Kind == Verify:
		p.setPhase(j, Verified)
		if j.Key.ID == "" { // no order needs a confirmation
			p.setPhase(j, Recorded)
		}
	}
}

// HandleOldData handles data at or below a tenant's cutoff that has turned up, such as segments of an older copy of the folder: every
// finished job of the tenant starts again at its fence.
func (p *Machine) HandleOldData(now int64, tenant string) Effects {
	return p.handle(now, func() {
		for _, k := range sortedKeys(p.jobs) {
			if j := p.jobs[k]; k.Tenant == tenant && j.Phase >= Verified {
				p.setPhase(j, Fenced)
				p.report(j)
			}
		}
	})
}

// join creates the job for an order. If a fence here has a higher epoch than the order, join returns that epoch and creates no job.
func (p *Machine) join(c *Execution) (higher Epoch) {
	k, kinds := c.Order.Key(), c.Order.Kinds()
	if j := p.jobs[k]; j != nil && j.Kinds == kinds { // otherwise the job belonged to another order with the same id
		p.adoptEpoch(j, c.Epoch)
		return higher
	}
	highest, same := p.highestEpoch(k.Tenant, kinds), true
	if c.Epoch.Less(highest) {
		return highest
	}
	j := &job{JobSnapshot: JobSnapshot{Key: k, Kinds: kinds, Epoch: c.Epoch}}
	p.jobs[k] = j
	p.effects.Save = true
	kinds.forEach(func(i int) {
		position := p.fenceOf(k.Tenant).positions[i]
		same = same && position.Epoch == c.Epoch
		j.Cutoff = max(j.Cutoff, position.Cutoff)
	})
	if same { // already fenced: the fence was learned before the order
		p.setPhase(j, Fenced)
		return higher
	}
	p.startAction(j)
	return higher
}

// adoptEpoch applies a raised epoch of an order. Data accepted since the fence was set here is newer than the order and is kept.
func (p *Machine) adoptEpoch(j *job, e Epoch) {
	if !j.Epoch.Less(e) {
		return
	}
	j.Epoch = e
	p.effects.Save = true
	if j.Phase >= Fenced {
		f := p.fenceOf(j.Key.Tenant)
		j.Kinds.forEach(func(i int) { f.positions[i].raise(e, 0) })
	}
}

// fenceWithoutOrder sets a fence that was learned from a peer without its order.
func (p *Machine) fenceWithoutOrder(m FenceEntry) {
	for _, k := range sortedKeys(p.jobs) {
		j := p.jobs[k]
		if k.Tenant == m.Tenant && j.Phase == Fencing && j.Kinds&(1<<m.Kind) != 0 && !j.Epoch.Less(m.Epoch) {
			return // already being set
		}
	}
	k := Key{Tenant: m.Tenant}
	j := p.jobs[k]
	if j == nil {
		j = &job{JobSnapshot: JobSnapshot{Key: k}}
		p.jobs[k] = j
	}
	j.Kinds |= 1 << m.Kind
	if j.Epoch.Less(m.Epoch) {
		j.Epoch = m.Epoch
	}
	p.setPhase(j, Fencing)
}
