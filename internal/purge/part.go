package purge

// Phase of a sender's part in an order. Every change goes through turnTo.
type Phase uint8

// The phases.
const (
	Told     Phase = iota // the fence is being set
	Fenced                // on disk; older data is refused
	Ending                // held messages are recalled, legs out run to their outcome
	Erasing               // files are rewritten
	Checking              // and read back
	Verified              // nothing is left, and that is on disk
	Settled               // the coordinator has it on record
)

func (f Phase) String() string {
	return [...]string{"told", "fenced", "ending", "erasing", "checking", "verified", "done"}[f]
}

// phases are the changes allowed. Back goes only what data has come to light for, what a restart begins again, and a fence heard
// without its order that has to be set anew.
var phases = map[Phase][]Phase{
	Told:     {Told, Fenced},
	Fenced:   {Ending, Told},
	Ending:   {Erasing, Fenced, Told},
	Erasing:  {Checking, Fenced, Told},
	Checking: {Verified, Erasing, Fenced, Told},
	Verified: {Settled, Fenced, Told},
	Settled:  {Fenced, Told},
}

// JobMemo is a part on disk.
type JobMemo struct {
	Key    Key    `cbor:"1,keyasint"`
	Kinds  Kinds  `cbor:"2,keyasint"`
	Epoch  Epoch  `cbor:"3,keyasint"`
	Phase  Phase  `cbor:"4,keyasint"`
	Cut    int64  `cbor:"5,keyasint"`
	Counts Counts `cbor:"6,keyasint"`
}

// job is a sender's part in one order.
type job struct {
	JobMemo
	round   uint64 // of the act out
	retryAt int64  // 0: none is owed
	cause   string // why it does not get on
}

// turnTo changes a phase and sets going what the new one does.
func (p *Machine) turnTo(j *job, to Phase) {
	allowed := false
	for _, f := range phases[j.Phase] {
		allowed = allowed || f == to
	}
	if !allowed {
		p.note("purge %s: %s does not become %s", j.Key, j.Phase, to)
		return
	}
	j.Phase, j.cause, j.retryAt, j.round = to, "", 0, 0
	p.out.Save = true
	p.act(j)
}

// act sets going what the phase of a part does.
func (p *Machine) act(j *job) {
	kind, any := map[Phase]ActKind{Told: Fence, Ending: Recall, Erasing: Erase, Checking: Verify}[j.Phase]
	switch {
	case j.Phase == Fenced:
		p.turnTo(j, Ending)
		return
	case !any:
		return
	case !p.tenants[j.Key.Tenant]:
		j.cause, j.retryAt = "tenant not listed here", p.now+retryEvery
		return
	}
	p.round++
	j.round = p.round
	p.out.Acts = append(p.out.Acts, Act{Kind: kind, Key: j.Key, Round: j.round, Kinds: j.Kinds, Cut: j.Cut})
}

// resume takes a part up after a restart.
func (p *Machine) resume(j *job) {
	switch j.Phase {
	case Told:
		p.act(j)
	case Fenced:
		p.turnTo(j, Ending)
	case Ending, Erasing, Checking:
		p.turnTo(j, Fenced)
	case Verified, Settled:
	}
}

func (p *Machine) retry(j *job) {
	if j.retryAt > 0 && p.now >= j.retryAt {
		j.retryAt = 0
		p.act(j)
	}
}

// Did takes in how an act went.
func (p *Machine) Did(now int64, d Done) Out {
	return p.turn(now, func() {
		if d.Kind == Post {
			p.shipped(d)
			return
		}
		j := p.jobs[d.Key]
		if j == nil || j.round != d.Round {
			return
		}
		if d.Fault != "" {
			j.Counts.add(d.Counts)
			j.cause, j.retryAt = d.Fault, p.now+retryEvery
			p.note("purge %s: %s: %s", j.Key, j.Phase, d.Fault)
			p.report(j)
			return
		}
		p.next(j, d)
		p.report(j)
	})
}

func (p *Machine) next(j *job, d Done) {
	j.Counts.add(d.Counts)
	switch {
	case j.Phase == Told && d.Kind == Fence:
		j.Cut = d.Cut
		f := p.marks(j.Key.Tenant)
		j.Kinds.each(func(i int) { f.marks[i].raise(j.Epoch, d.Cut) })
		p.turnTo(j, Fenced)
	case j.Phase == Ending && d.Kind == Recall:
		p.turnTo(j, Erasing)
	case j.Phase == Erasing && d.Kind == Erase:
		p.turnTo(j, Checking)
	case j.Phase == Checking && d.Kind == Verify && d.Found > 0:
		p.note("purge %s: data left in %d places, erased again", j.Key, d.Found)
		p.turnTo(j, Erasing)
	case j.Phase == Checking && d.Kind == Verify:
		p.turnTo(j, Verified)
		if j.Key.ID == "" { // nobody asked for it
			p.turnTo(j, Settled)
		}
	}
}

// Found says that data up to a tenant's cut has come to light, such as segments of an older copy of the folder: all parts of the tenant
// that had ended begin again at their fence.
func (p *Machine) Found(now int64, tenant string) Out {
	return p.turn(now, func() {
		for _, k := range sorted(p.jobs) {
			if j := p.jobs[k]; k.Tenant == tenant && j.Phase >= Verified {
				p.turnTo(j, Fenced)
				p.report(j)
			}
		}
	})
}

// join takes part in a case; it tells the fence that is here already when that is above the case's epoch.
func (p *Machine) join(c *Case) (low Epoch) {
	k, wide := c.Order.Key(), c.Order.Kinds()
	if j := p.jobs[k]; j != nil && j.Kinds == wide { // else it was another order under the same id
		p.lift(j, c.Epoch)
		return low
	}
	top, same := p.highest(k.Tenant, wide), true
	if c.Epoch.Less(top) {
		return top
	}
	j := &job{JobMemo: JobMemo{Key: k, Kinds: wide, Epoch: c.Epoch}}
	p.jobs[k] = j
	p.out.Save = true
	wide.each(func(i int) {
		mark := p.marks(k.Tenant).marks[i]
		same = same && mark.Epoch == c.Epoch
		j.Cut = max(j.Cut, mark.Cut)
	})
	if same { // heard of before the order itself: fenced already
		p.turnTo(j, Fenced)
		return low
	}
	p.act(j)
	return low
}

// lift follows an order whose epoch was raised. What was taken on since this sender's fence for it is newer, and stays.
func (p *Machine) lift(j *job, e Epoch) {
	if !j.Epoch.Less(e) {
		return
	}
	j.Epoch = e
	p.out.Save = true
	if j.Phase >= Fenced {
		f := p.marks(j.Key.Tenant)
		j.Kinds.each(func(i int) { f.marks[i].raise(e, 0) })
	}
}

// fenceWithout sets a fence of which another told, without its order.
func (p *Machine) fenceWithout(m Mark) {
	for _, k := range sorted(p.jobs) {
		j := p.jobs[k]
		if k.Tenant == m.Tenant && j.Phase == Told && j.Kinds&(1<<m.Kind) != 0 && !j.Epoch.Less(m.Epoch) {
			return // on its way
		}
	}
	k := Key{Tenant: m.Tenant}
	j := p.jobs[k]
	if j == nil {
		j = &job{JobMemo: JobMemo{Key: k}}
		p.jobs[k] = j
	}
	j.Kinds |= 1 << m.Kind
	if j.Epoch.Less(m.Epoch) {
		j.Epoch = m.Epoch
	}
	p.turnTo(j, Told)
}
