// Package simwire implements the bench's wire protocol: it decodes each event into a call of the decision
// module and appends each action to the reply. Names on the wire do not appear outside this package.
package simwire

import (
	"bufio"
	"fmt"
	"io"
	"slices"

	"github.com/tidwall/gjson"

	"ravenlink/choice"
	"ravenlink/internal/startup"
)

const maxLineSize = 1 << 30 // bytes; batches can take megabytes

// adapter holds the instances of one process and the tables, shared by all of them, that their events refer
// to.
type adapter struct {
	senders map[int64]*instance
	active  []*instance // instances with an event in this batch, in the order of their first event
	tables  [16]gjson.Result
	errs    io.Writer
}

// Run answers batches until the input ends.
func Run(in io.Reader, out, errs io.Writer) error {
	w := &adapter{senders: map[int64]*instance{}, errs: errs}
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 1<<20), maxLineSize)
	var reply []byte
	for n := 1; lines.Scan(); n++ {
		reply = w.handleBatch(reply[:0], lines.Bytes(), n)
		if _, err := out.Write(reply); err != nil {
			return err
		}
	}
	return lines.Err()
}

// handleBatch answers one line. Invalid events are reported on the error stream and skipped.
func (w *adapter) handleBatch(reply, line []byte, n int) []byte {
	clear(w.active)
	w.active = w.active[:0]
	b := gjson.ParseBytes(line) // copies the line, so tables may retain parts of it
	moment, events := b.Get("moment"), b.Get("arrivals")
	switch {
	case !gjson.ValidBytes(line):
		w.logInvalid(n, "not a JSON value")
	case moment.Type != gjson.Number:
		w.logInvalid(n, "no clock in moment")
	case !events.IsArray():
		w.logInvalid(n, "no array in arrivals")
	default:
		now, i := startup.Micros(moment), 0
		events.ForEach(func(_, ev gjson.Result) bool {
			if err := w.handleEvent(now, ev); err != nil {
				w.logInvalid(n, fmt.Sprintf("event %d: %v", i, err))
			}
			i++
			return true
		})
	}
	reply = append(reply, `{"output":[`...)
	for _, t := range w.active {
		t.sender.Decide()
		if len(t.actions) > 0 {
			reply = append(append(reply, t.actions[1:]...), ',') // each action starts with a comma
			t.actions = t.actions[:0]
		}
	}
	if reply[len(reply)-1] == ',' {
		reply = reply[:len(reply)-1]
	}
	return append(reply, "]}\n"...)
}

func (w *adapter) logInvalid(n int, what string) {
	fmt.Fprintf(w.errs, "adapter: line %d: %s\n", n, what)
}

// requireFields returns an error for the first field that is absent or null.
func requireFields(f gjson.Result, names ...string) error {
	for _, name := range names {
		if v := f.Get(name); !v.Exists() || v.Type == gjson.Null {
			return fmt.Errorf("%s is missing", name)
		}
	}
	return nil
}

func (w *adapter) handleEvent(now int64, ev gjson.Result) (err error) {
	name, f, count := "", gjson.Result{}, 0
	ev.ForEach(func(k, v gjson.Result) bool {
		name, f = k.String(), v
		count++
		return true
	})
	if count != 1 || !f.IsObject() {
		return fmt.Errorf("not an object of one name holding an object")
	}
	switch name {
	case "sheet":
		return w.setTable(f)
	case "hello":
		return w.addSender(now, f)
	}
	needed, known := requiredFields[name]
	if !known {
		return fmt.Errorf("%q is no event known here", name)
	}
	if err := requireFields(f, needed...); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	t := w.senders[f.Get("sender").Int()]
	if t == nil {
		return fmt.Errorf("%s: no sender %s", name, f.Get("sender").Raw)
	}
	if name == "halt" {
		delete(w.senders, t.id)
		w.active = slices.DeleteFunc(w.active, func(o *instance) bool { return o == t })
		return nil
	}
	if !slices.Contains(w.active, t) {
		w.active = append(w.active, t)
	}
	t.sender.SetTime(now)
	if err := w.dispatch(t, name, f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// requiredFields lists the mandatory fields of each event.
var requiredFields = map[string][]string{
	"halt":      {"sender"},
	"members":   {"sender", "form"},
	"arrival":   {"sender", "id", "cls", "expires", "receiver_no"},
	"ack_first": {"sender", "id"},
	"settled":   {"sender", "id", "verdict", "attempt"},
	"hangup":    {"sender", "id"},
	"bell":      {"sender", "nonce"},
	"pong":      {"sender", "receiver", "verdict"},
	"memo":      {"sender"},
}

func (w *adapter) setTable(f gjson.Result) error {
	if err := requireFields(f, "table", "lines"); err != nil {
		return fmt.Errorf("sheet: %w", err)
	}
	n := f.Get("table").Int()
	if n < 0 || n >= int64(len(w.tables)) {
		return fmt.Errorf("sheet: table %d is out of range", n)
	}
	w.tables[n] = f.Get("lines")
	return nil
}

func (w *adapter) addSender(now int64, f gjson.Result) error {
	if err := requireFields(f, "sender", "nonce64", "config"); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	t := newInstance(f)
	if old := w.senders[t.id]; old != nil {
		w.active = slices.DeleteFunc(w.active, func(o *instance) bool { return o == old })
	}
	w.senders[t.id] = t
	w.active = append(w.active, t)
	t.sender.SetTime(now)
	return nil
}

var outcomes = map[string]choice.Outcome{
	"done": choice.Delivered, "err": choice.Errored, "busy": choice.Refused, "etimedout": choice.TimedOut,
	"econnrefused": choice.ConnectFailed, "econnreset": choice.Reset, "ecanceled": choice.Cancelled,
	"skipped": choice.NotSent,
}

func parseOutcome(f gjson.Result) (choice.Outcome, error) {
	o, known := outcomes[f.Get("verdict").String()]
	if !known {
		return o, fmt.Errorf("outcome %s is not known here", f.Get("verdict").Raw)
	}
	return o, nil
}

var listForms = []choice.ListKind{choice.Delta, choice.Snapshot, choice.Cached, choice.LookupFailed}

// dispatch passes one event to the module.
func (w *adapter) dispatch(t *instance, name string, f gjson.Result) error {
	s, id := t.sender, f.Get("id").String()
	switch name {
	case "members":
		return w.updateMembers(t, f)
	case "arrival":
		class := f.Get("cls").Int()
		if class < 0 || class >= int64(t.classes) {
			return fmt.Errorf("no lane %d", class)
		}
		key, to := f.Get("partition_key").String(), f.Get("receiver_no").Int()
		s.Accept(id, int(class), key, to, startup.Micros(f.Get("expires")))
	case "ack_first":
		s.StreamStarted(id)
	case "settled":
		o, err := parseOutcome(f)
		if err != nil {
			return err
		}
		wait := int64(0)
		if o == choice.Refused {
			wait = f.Get("detail").Int() * 1000
		}
		number, final := int(f.Get("attempt").Int()), f.Get("final").Bool()
		s.LegEnded(id, number, o, wait, final, t.parseReport(f.Get("health_info")))
	case "hangup":
		s.Withdraw(id)
	case "bell":
		s.TimerFired(f.Get("nonce").Uint())
	case "memo":
		s.ReceiveNote(f.Get("blob").String())
	case "pong":
		o, err := parseOutcome(f)
		if err != nil {
			return err
		}
		s.ProbeEnded(uint32(f.Get("receiver").Uint()), o, t.parseReport(f.Get("health_info")))
	}
	return nil
}

func (w *adapter) updateMembers(t *instance, f gjson.Result) error {
	form := f.Get("form").Int()
	if form < 0 || form >= int64(len(listForms)) {
		return fmt.Errorf("form %d is not known here", form)
	}
	var entries []choice.Entry
	if listForms[form] != choice.LookupFailed {
		n := f.Get("table").Int()
		if n < 0 || n >= int64(len(w.tables)) || !w.tables[n].Exists() {
			return fmt.Errorf("no sheet %d", n)
		}
		w.tables[n].ForEach(func(_, e gjson.Result) bool {
			entries = append(entries, choice.Entry{
				Receiver: uint32(e.Get("receiver").Uint()), Dst: e.Get("belongs_to").Int(),
				Kind: int(e.Get("type").Int()), Zone: int(e.Get("zone").Int()),
				Weight: e.Get("share").Float(), Listed: e.Get("health").Int() == 1,
			})
			return true
		})
	}
	t.sender.UpdateList(listForms[form], entries)
	return nil
}
