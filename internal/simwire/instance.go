package simwire

import (
	"strconv"

	"github.com/tidwall/gjson"

	"ravenlink/choice"
	"ravenlink/internal/startup"
)

const unlimitedBatch = 1 << 30 // messages in one call, where the kind has no limit

// instance is the module of one sender and the actions it has taken in this batch.
type instance struct {
	sender  *choice.Sender
	id      int64
	classes int
	actions []byte
}

// newInstance creates a module from its settings.
func newInstance(f gjson.Result) *instance {
	c := f.Get("config")
	t := &instance{id: f.Get("sender").Int(), classes: len(startup.ClassNames(c))}
	t.sender = startup.NewSender(t, f.Get("nonce64").Uint(), c, unlimitedBatch)
	return t
}

func (t *instance) parseReport(h gjson.Result) choice.RateLimit {
	if !h.IsObject() {
		return choice.RateLimit{}
	}
	return choice.RateLimit{Known: true, RemainingShare: h.Get("x0").Float(), LimitPerSec: h.Get("x1").Float()}
}

// beginAction opens an action, the add methods append fields and endAction closes it. Each part starts with a
// comma.
func (t *instance) beginAction(name string) {
	t.actions = append(append(append(t.actions, `,{"`...), name...), `":{"sender":`...)
	t.actions = strconv.AppendInt(t.actions, t.id, 10)
}

func (t *instance) addString(name, v string) {
	t.actions = append(append(append(t.actions, `,"`...), name...), `":`...)
	t.actions = gjson.AppendJSONString(t.actions, v)
}

func (t *instance) addUint(name string, v uint64) {
	t.actions = append(append(append(t.actions, `,"`...), name...), `":`...)
	t.actions = strconv.AppendUint(t.actions, v, 10)
}

func (t *instance) addMillis(name string, us int64) {
	t.actions = append(append(append(t.actions, `,"`...), name...), `":`...)
	t.actions = strconv.AppendFloat(t.actions, float64(us)/1000, 'f', -1, 64)
}

func (t *instance) endAction() { t.actions = append(t.actions, "}}"...) }

// Send and the methods below implement the module's Host.
func (t *instance) Send(msg string, receiver uint32, patience int64) {
	t.beginAction("submit_to")
	t.addString("id", msg)
	t.addMillis("patience", patience)
	t.addUint("receiver", uint64(receiver))
	t.endAction()
}

// Cancel cancels one leg.
func (t *instance) Cancel(msg string, leg int) {
	t.beginAction("drop_attempt")
	t.addString("id", msg)
	t.addUint("attempt", uint64(leg))
	t.endAction()
}

// Reject rejects a message.
func (t *instance) Reject(msg string, comeBackIn int64) {
	t.beginAction("refuse")
	t.addString("id", msg)
	if comeBackIn > 0 {
		t.addMillis("hold_off", comeBackIn)
	}
	t.endAction()
}

// Fail ends a message as failed.
func (t *instance) Fail(msg string) {
	t.beginAction("lose")
	t.addString("id", msg)
	t.endAction()
}

// SetTimer requests a timer event.
func (t *instance) SetTimer(in int64, token uint64) {
	t.beginAction("remind")
	t.addMillis("from_now", in)
	t.addUint("nonce", token)
	t.endAction()
}

// Probe requests a probe of a receiver.
func (t *instance) Probe(receiver uint32) {
	t.beginAction("ping")
	t.addUint("receiver", uint64(receiver))
	t.endAction()
}

// CloseIdle closes the idle connections to a receiver.
func (t *instance) CloseIdle(receiver uint32) {
	t.beginAction("hang_up")
	t.addUint("receiver", uint64(receiver))
	t.endAction()
}

// Broadcast sends a note to all peers.
func (t *instance) Broadcast(text string) {
	t.beginAction("write_peer")
	t.addString("target", "all")
	t.addString("blob", text)
	t.endAction()
}

// Subscribe requests updates of the list.
func (t *instance) Subscribe() {
	t.beginAction("listen")
	t.actions = append(t.actions, `,"enable":true`...)
	t.endAction()
}

// Log writes a log line.
func (t *instance) Log(text string) {
	t.beginAction("print")
	t.addString("what", text)
	t.endAction()
}

// Share does nothing: in the bench, peers receive notes only.
func (t *instance) Share(choice.Observation) {}
