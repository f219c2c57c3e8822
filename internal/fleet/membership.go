package fleet

import (
	"go.uber.org/zap"

	"ravenlink/internal/links"
	"ravenlink/internal/members"
	"ravenlink/internal/post"
	"ravenlink/internal/ranked"
)

var (
	membersKey = Key("members")
	viewKey    = Key("view")
)

// membership maintains the member list of the fleet, and passes each change to the other components.
type membership struct {
	r        *Runtime
	mu       *ranked.Mutex
	detector *members.Detector

	published members.View // view last published to the components; used only by the view worker
}

func newMembership(r *Runtime) *membership {
	t := members.DefaultTiming(len(r.table.Peers) + 1)
	t = withHeartbeat(t, int64(r.table.HeartbeatInterval))
	return &membership{r: r, mu: ranked.New(ranked.Members, "members"),
		detector: members.New(r.table.Self, r.table.MemberNames(), r.id.Incarnation, r.id.Folder, t)}
}

// withHeartbeat returns a timing with another heartbeat interval; times that are multiples of it scale along.
func withHeartbeat(t members.Timing, interval int64) members.Timing {
	scale := func(d int64) int64 { return d / t.HeartbeatInterval * interval }
	t.ProbeAfter, t.SuspectAfter, t.ConfirmAfter, t.MaxSilence, t.HeartbeatInterval = scale(t.ProbeAfter), scale(t.SuspectAfter), scale(t.ConfirmAfter), scale(t.MaxSilence), interval
	return t
}

func (w *membership) Kind() links.Kind { return links.Members }

func (w *membership) Receive(from string, f links.Frame) error {
	m, err := decode[members.Msg](f.Body)
	if err != nil {
		return err
	}
	w.r.pool.Submit(membersKey, func() {
		w.update(func(now int64) []post.PeerMessage[members.Msg] { return w.detector.Receive(now, from, m) })
	})
	return nil
}

func (w *membership) Tick() {
	w.r.pool.Submit(membersKey, func() { w.update(w.detector.Tick) })
}

// update processes an event and sends the resulting messages.
func (w *membership) update(event func(now int64) []post.PeerMessage[members.Msg]) {
	w.mu.Lock()
	before := w.detector.Epoch()
	messages := event(w.r.now())
	changed := w.detector.Epoch() != before
	w.mu.Unlock()
	send(w.r, links.Members, messages)
	if changed {
		w.r.pool.Submit(viewKey, w.publish)
	}
}

// publish passes the newest view to all components, one view after the other. If a full queue rejects the call, the
// next change of the member list makes up for it.
func (w *membership) publish() {
	w.mu.Lock()
	v := w.detector.View()
	w.mu.Unlock()
	if v.Epoch == w.published.Epoch {
		return
	}
	w.logChanges(v)
	w.published = v
	now := w.r.now()
	for _, p := range w.r.tickOrder {
		p.UpdateMembers(now, v)
	}
}

// logChanges logs changed members. If the fleet knows of a later start of this folder, it stores that incarnation: this
// folder is then an older copy.
func (w *membership) logChanges(v members.View) {
	for _, m := range v.Members {
		if was, known := w.published.Member(m.Name); !known || was.State != m.State || was.Incarnation != m.Incarnation || was.Folder != m.Folder {
			w.r.log.Info("member", zap.String("name", m.Name), zap.Stringer("state", m.State), zap.Uint64("incarnation", m.Incarnation))
		}
		w.r.metrics.setMember(m)
	}
	if me, _ := v.Member(v.Self); me.Incarnation > w.r.id.Incarnation {
		if err := w.r.store.RaiseIncarnation(me.Incarnation); err != nil {
			w.r.log.Error("fleet log", zap.Error(err))
		}
	}
}

// UpdateMembers does nothing: this component publishes the views.
func (w *membership) UpdateMembers(int64, members.View) {}

// Leave tells the other members; silence alone would first raise suspicion.
func (w *membership) Leave(now int64) {
	w.mu.Lock()
	messages := w.detector.Leave(now)
	w.mu.Unlock()
	send(w.r, links.Members, messages)
}
