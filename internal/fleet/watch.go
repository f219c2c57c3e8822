package fleet

import (
	"go.uber.org/zap"

	"ravenlink/internal/links"
	"ravenlink/internal/members"
	"ravenlink/internal/post"
	"ravenlink/internal/ranked"
)

var (
	watchKey = Key("members")
	viewKey  = Key("view")
)

// watch has the view of the fleet, and gives each change of it to the other parts.
type watch struct {
	r     *Runtime
	mu    *ranked.Mutex
	fleet *members.Fleet

	last members.View // given to the parts; of the views' worker alone
}

func newWatch(r *Runtime) *watch {
	t := members.Usual(len(r.table.Peers) + 1)
	t = paced(t, int64(r.table.Beat))
	return &watch{r: r, mu: ranked.New(ranked.Members, "members"),
		fleet: members.New(r.table.Self, r.table.Listed(), r.id.Incarnation, r.id.Folder, t)}
}

// paced is a timing with another beat: all that is counted in beats goes along.
func paced(t members.Timing, beat int64) members.Timing {
	part := func(d int64) int64 { return d / t.Beat * beat }
	t.Ask, t.Doubt, t.Confirm, t.Silence, t.Beat = part(t.Ask), part(t.Doubt), part(t.Confirm), part(t.Silence), beat
	return t
}

func (w *watch) Kind() links.Kind { return links.Members }

func (w *watch) Hear(from string, f links.Frame) error {
	m, err := decode[members.Msg](f.Body)
	if err != nil {
		return err
	}
	w.r.pool.Do(watchKey, func() {
		w.turn(func(now int64) []post.Letter[members.Msg] { return w.fleet.Heard(now, from, m) })
	})
	return nil
}

func (w *watch) Tick() {
	w.r.pool.Do(watchKey, func() { w.turn(w.fleet.Tick) })
}

// turn has an event taken in, and tells what comes of it.
func (w *watch) turn(event func(now int64) []post.Letter[members.Msg]) {
	w.mu.Lock()
	before := w.fleet.Epoch()
	letters := event(w.r.now())
	changed := w.fleet.Epoch() != before
	w.mu.Unlock()
	send(w.r, links.Members, letters)
	if changed {
		w.r.pool.Do(viewKey, w.publish)
	}
}

// publish gives the newest view to all parts, one view after the other. Every tick makes up for one that found no place.
func (w *watch) publish() {
	w.mu.Lock()
	v := w.fleet.View()
	w.mu.Unlock()
	if v.Epoch == w.last.Epoch {
		return
	}
	w.tell(v)
	w.last = v
	now := w.r.now()
	for _, p := range w.r.order {
		p.Seen(now, v)
	}
}

// tell logs what changed, and has a start that the fleet knew of outlast the process: this folder was an older copy.
func (w *watch) tell(v members.View) {
	for _, m := range v.Members {
		if was, known := w.last.Member(m.Name); !known || was.State != m.State || was.Incarnation != m.Incarnation || was.Folder != m.Folder {
			w.r.log.Info("member", zap.String("name", m.Name), zap.Stringer("state", m.State), zap.Uint64("incarnation", m.Incarnation))
		}
		w.r.counts.member(m)
	}
	if me, _ := v.Member(v.Self); me.Incarnation > w.r.id.Incarnation {
		if err := w.r.store.Raise(me.Incarnation); err != nil {
			w.r.log.Error("fleet log", zap.Error(err))
		}
	}
}

// Seen is for the other parts.
func (w *watch) Seen(int64, members.View) {}

// Leave tells the others; silence alone would be doubted first.
func (w *watch) Leave(now int64) {
	w.mu.Lock()
	letters := w.fleet.Leaving(now)
	w.mu.Unlock()
	send(w.r, links.Members, letters)
}
