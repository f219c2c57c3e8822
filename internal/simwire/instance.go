package simwire

import (
	"strconv"

	"github.com/tidwall/gjson"

	"ravenlink/choice"
	"ravenlink/internal/startup"
)

const anyNumber = 1 << 30 // messages in a call, as far as the kinds allow

// instance is one sender's module and the actions it has taken in this batch.
type instance struct {
	sender  *choice.Sender
	number  int64
	lanes   int
	actions []byte
}

// start reads the settings into a module of its own.
func start(f gjson.Result) *instance {
	c := f.Get("config")
	t := &instance{number: f.Get("sender").Int(), lanes: len(startup.LaneNames(c))}
	t.sender = startup.Sender(t, f.Get("nonce64").Uint(), c, anyNumber)
	return t
}

func (t *instance) report(h gjson.Result) choice.Report {
	if !h.IsObject() {
		return choice.Report{}
	}
	return choice.Report{Told: true, ShareLeft: h.Get("x0").Float(), LimitPerSec: h.Get("x1").Float()}
}

// begin opens an action; millis and end add to it. Each starts with a comma.
func (t *instance) begin(name string) {
	t.actions = append(append(append(t.actions, `,{"`...), name...), `":{"sender":`...)
	t.actions = strconv.AppendInt(t.actions, t.number, 10)
}

func (t *instance) text(name, v string) {
	t.actions = append(append(append(t.actions, `,"`...), name...), `":`...)
	t.actions = gjson.AppendJSONString(t.actions, v)
}

func (t *instance) whole(name string, v uint64) {
	t.actions = append(append(append(t.actions, `,"`...), name...), `":`...)
	t.actions = strconv.AppendUint(t.actions, v, 10)
}

func (t *instance) millis(name string, us int64) {
	t.actions = append(append(append(t.actions, `,"`...), name...), `":`...)
	t.actions = strconv.AppendFloat(t.actions, float64(us)/1000, 'f', -1, 64)
}

func (t *instance) end() { t.actions = append(t.actions, "}}"...) }

// Send and the methods below are the module's Host.
func (t *instance) Send(msg string, receiver uint32, patience int64) {
	t.begin("submit_to")
	t.text("id", msg)
	t.millis("patience", patience)
	t.whole("receiver", uint64(receiver))
	t.end()
}

// Cancel calls off one leg.
func (t *instance) Cancel(msg string, leg int) {
	t.begin("drop_attempt")
	t.text("id", msg)
	t.whole("attempt", uint64(leg))
	t.end()
}

// PushBack ends a message unharmed.
func (t *instance) PushBack(msg string, comeBackIn int64) {
	t.begin("refuse")
	t.text("id", msg)
	if comeBackIn > 0 {
		t.millis("hold_off", comeBackIn)
	}
	t.end()
}

// Fail ends a message with no promise.
func (t *instance) Fail(msg string) {
	t.begin("lose")
	t.text("id", msg)
	t.end()
}

// Timer asks for a ring.
func (t *instance) Timer(in int64, token uint64) {
	t.begin("remind")
	t.millis("from_now", in)
	t.whole("nonce", token)
	t.end()
}

// Probe checks a receiver.
func (t *instance) Probe(receiver uint32) {
	t.begin("ping")
	t.whole("receiver", uint64(receiver))
	t.end()
}

// CloseIdle shuts idle connections to a receiver.
func (t *instance) CloseIdle(receiver uint32) {
	t.begin("hang_up")
	t.whole("receiver", uint64(receiver))
	t.end()
}

// Note tells every fellow sender something.
func (t *instance) Note(text string) {
	t.begin("write_peer")
	t.text("target", "all")
	t.text("blob", text)
	t.end()
}

// Subscribe asks for changes of the list.
func (t *instance) Subscribe() {
	t.begin("listen")
	t.actions = append(t.actions, `,"enable":true`...)
	t.end()
}

// Log writes a line for people.
func (t *instance) Log(text string) {
	t.begin("print")
	t.text("what", text)
	t.end()
}

// Saw tells nobody: here fellows hear notes alone.
func (t *instance) Saw(choice.Sight) {}
