package ordered

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/channels"
	"ravenlink/internal/spool"
)

// A host whose store takes no rows pauses: it answers BUSY, begins nothing and hears no letters, while what it holds ends at its time. The
// rows are kept and written again until the store takes them; then channels go on without a restart.

const writeAgain = 250 * time.Millisecond // between tries to write what could not be written

// errNotYet says that it is too early to write again.
var errNotYet = errors.New("channels: the store is tried again soon")

// unwritten is what waits for the store. It holds one row for each key, and so no more than the decisions know and what ended meanwhile.
type unwritten struct {
	rows  map[string]channels.Row
	again time.Time // when the store is tried next
}

func (u *unwritten) add(rows []channels.Row) {
	if u.rows == nil {
		u.rows = map[string]channels.Row{}
	}
	for _, r := range rows {
		u.rows[r.Key] = r
	}
}

// before gives what waits, with the rows of jobs behind it.
func (u *unwritten) before(jobs []*job) (rows []channels.Row) {
	for _, r := range u.rows {
		rows = append(rows, r)
	}
	for _, j := range jobs {
		rows = append(rows, j.e.Rows...)
	}
	return rows
}

// write puts the rows of jobs on disk, with those that wait; with that a pause is over.
func (h *Host) write(jobs []*job) error {
	rows := h.unwritten.before(jobs)
	if len(rows) == 0 {
		return nil
	}
	if time.Now().Before(h.unwritten.again) {
		return errNotYet
	}
	if err := h.store.Write(rows); err != nil {
		return err
	}
	h.unwritten = unwritten{}
	h.resume()
	return nil
}

// resume ends a pause.
func (h *Host) resume() {
	h.mu.Lock()
	paused := h.paused
	if paused {
		h.paused = false
		h.add(h.table.Mend(h.engine.Now()))
	}
	h.mu.Unlock()
	if paused {
		h.log.Info("channels serve here again: their state is written")
	}
}

// pause keeps the rows of jobs that could not be written and calls off what depends on them: what they took on is not taken on, what they
// release waits for its turn again, and their letters are lost, as on a link that is cut. Ends are told all the same.
func (h *Host) pause(jobs []*job, err error) {
	h.mu.Lock()
	first := !h.paused
	if first {
		h.paused = true
		h.table.Break()
	}
	jobs = append(jobs, h.queue...)
	h.queue = nil
	for _, j := range jobs {
		h.unwritten.add(j.e.Rows)
	}
	refused := h.untake(jobs)
	ends := h.unrelease(jobs, refused)
	if !errors.Is(err, errNotYet) {
		h.unwritten.again = time.Now().Add(writeAgain)
	}
	h.mu.Unlock()
	if first {
		h.log.Error("channels pause here: their state cannot be written; it is tried again", zap.Error(err))
	}
	h.fail(jobs)
	for _, g := range ends {
		h.giveUp(g)
	}
}

// untake takes back what jobs took on, the latest first, and tells which ids; mu is held.
func (h *Host) untake(jobs []*job) (refused map[string]bool) {
	refused = map[string]bool{}
	for i := len(jobs) - 1; i >= 0; i-- {
		if m := jobs[i].taken; m != nil {
			refused[m.ID] = true
			h.unwritten.add(h.table.Untake(m.Channel, m.Pos))
		}
	}
	return refused
}

// unrelease has messages wait for their turn again that jobs release, and gives the ends that they ask for; mu is held.
func (h *Host) unrelease(jobs []*job, refused map[string]bool) (ends []channels.GivenUp) {
	keep := func(all []channels.GivenUp) {
		for _, g := range all {
			if !refused[g.ID] {
				ends = append(ends, g)
			}
		}
	}
	for _, j := range jobs {
		keep(j.e.GiveUp)
		for _, id := range j.e.Release {
			x := h.held[id]
			if x == nil || refused[id] {
				continue
			}
			e := h.table.Postponed(h.engine.Now(), x.m.Channel, x.m.Pos, mayHaveRun(x.m))
			h.unwritten.add(e.Rows)
			keep(e.GiveUp)
		}
	}
	return ends
}

// mayHaveRun tells whether a leg of a message may have had an effect.
func mayHaveRun(m *spool.Message) bool {
	for _, l := range m.Legs {
		if !l.NeverRan {
			return true
		}
	}
	return false
}
