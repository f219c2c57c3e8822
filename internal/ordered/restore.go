package ordered

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"ravenlink/internal/channels"
	"ravenlink/internal/spool"
)

// A host whose rows cannot be read yet, for the disk fails or its fleet cannot be had, is paused. What is owed for channels waits for its row
// and ends at its time; once the rows can be read, channels are served without a restart.

const readAgain = 2 * time.Second // between tries to read what could not be read

// unread is what a host knows of earlier messages until it has read its rows.
type unread struct {
	owed  []*spool.Message // in the order in which they were taken on; emptied as they end
	ended map[string]bool  // ids of those that ended meanwhile: their rows stand for no delivery
	again time.Time        // when the rows are read next
}

// over takes out a message whose deadline has ended it.
func (u *unread) over(m *spool.Message) {
	u.owed = slices.DeleteFunc(u.owed, func(o *spool.Message) bool { return o == m })
	u.ended[m.ID] = true
}

// Begin names the sender's incarnation where its table was made without one. It comes before the rows can be read.
func (h *Host) Begin(life uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Begin(life)
}

// Restore takes up what was owed for channels before a restart, and returns what is owed otherwise. It comes before Run. With an error the
// rows cannot be read: Run tries again, and until then no channel is served.
func (h *Host) Restore(owed []*spool.Message) (others []*spool.Message, err error) {
	u := &unread{ended: map[string]bool{}}
	for _, m := range owed {
		if m.Channel != "" && !m.Ended {
			u.owed = append(u.owed, m)
		} else {
			others = append(others, m)
		}
	}
	var all []channels.Restored
	for _, m := range u.owed {
		all = append(all, channels.Restored{ID: m.ID, Channel: m.Channel, Pos: m.Pos})
	}
	h.mu.Lock()
	h.unread, h.paused = u, true
	h.table.Break()
	h.table.Owed(all)
	h.mu.Unlock()
	for _, m := range owed {
		if m.Channel != "" && !m.Ended {
			h.engine.Await(m)
		}
	}
	return others, h.read()
}

// readAgain tries to read what could not be read at the start.
func (h *Host) readAgain() {
	h.mu.Lock()
	due := h.unread != nil && !time.Now().Before(h.unread.again)
	h.mu.Unlock()
	if !due {
		return
	}
	if err := h.read(); err != nil {
		h.log.Debug("channels stay paused: what was written cannot be read", zap.Error(err))
		return
	}
	h.log.Info("channels serve here again: their state is read")
}

// read takes up what the rows say. A message without a row is given up: the row may be lost, or the process ended before its end was told.
func (h *Host) read() error {
	rows, err := h.store.Rows()
	var without []*spool.Message
	if err == nil {
		without, err = h.restore(rows)
	}
	if err != nil {
		h.mu.Lock()
		h.unread.again = time.Now().Add(readAgain)
		h.mu.Unlock()
		return err
	}
	for _, m := range without {
		h.engine.GiveUp(m, noStore)
	}
	return nil
}

// restore ends the pause with what the rows say, and gives the messages that have none.
func (h *Host) restore(rows []channels.Row) (without []*spool.Message, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, byID := h.unread, map[string]*spool.Message{}
	for _, m := range u.owed {
		byID[m.ID] = m
	}
	mayRun := func(id string) bool { return u.ended[id] || byID[id] != nil && mayHaveRun(byID[id]) }
	now := h.engine.Now()
	entries, err := h.table.Restore(now, rows, mayRun)
	if err != nil {
		return nil, err
	}
	h.unread, h.paused = nil, false
	for _, e := range entries {
		if m := byID[e.ID]; m != nil && m.Channel == e.Channel && m.Pos == e.Pos {
			h.held[m.ID] = &held{m: m, answered: true}
			delete(byID, m.ID)
		} else { // it had ended
			h.add(h.table.Ended(now, e.Channel, e.Pos, !u.ended[e.ID], true))
		}
	}
	if h.older > 0 {
		h.add(h.table.Reset(now, h.older))
	}
	h.add(h.table.Mend(now))
	for _, m := range u.owed {
		if byID[m.ID] == m {
			without = append(without, m)
		}
	}
	return without, nil
}
