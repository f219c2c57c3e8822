package fleettest

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"ravenlink/internal/links"
	"ravenlink/internal/verdicts"
)

// Lane is what the judges know of a lane.
type Lane struct {
	Keyed, Retriable, InOrder bool
	Window                    time.Duration // of a keyed one
}

// again tells whether a message that may have run may be handed in again, and so be pushed back.
func (l Lane) again() bool { return l.Keyed || l.Retriable }

// Judge reads a record and names each fault in it.
type Judge func(Record) []string

// What the judges allow. A fault that matters here is longer: an absence, a wait, a deadline of seconds.
const (
	noticeSlack = 2 * time.Second        // after its deadline, for a message's notice, while its sender is up and the platform answers
	notTold     = 10                     // the part of a wait that is no news of it, as in internal/verdicts
	travel      = 500 * time.Millisecond // between a sender's clock and the rig's record of the same, on a machine that is busy
)

// OneEnd finds messages taken on that end never, twice, or late. A sender that was down or stopped has the time of its
// absence on top. A message may be delivered and then fail only where its sender was killed or stopped with the leg out, or where
// its time was up before the answer was read: it could not know.
func OneEnd(lanes map[string]Lane) Judge {
	return func(rec Record) []string { return rec.ends(lanes) }
}

func (rec Record) ends(lanes map[string]Lane) (faults []string) {
	for _, h := range rec.HandIns {
		if !h.Taken() {
			continue
		}
		ends := map[string]bool{}
		told := time.Duration(-1) // first since; again where the platform's answer is late or lost
		for _, n := range rec.Notices {
			if n.ID != h.ID {
				continue
			}
			ends[n.State] = true
			if told < 0 && n.At >= h.At {
				told = n.At
			}
		}
		var delivered []Call
		for _, c := range rec.CallsOf(h.ID) {
			if c.Status == 200 {
				delivered = append(delivered, c)
			}
		}
		due := h.Answered + h.Within // it was taken on before that
		switch {
		case len(ends) == 0 && len(delivered) == 0:
			faults = append(faults, h.ID+": no end")
		case len(ends) > 1:
			faults = append(faults, fmt.Sprintf("%s: %d states told", h.ID, len(ends)))
		case len(ends) > 0 && len(delivered) > 0 && !(rec.unknowable(delivered, due) && (ends["failed"] || lanes[h.Lane].again())) &&
			!(ends["failed"] && unread(delivered)):
			faults = append(faults, fmt.Sprintf("%s: delivered and told as undelivered: %v, calls %v", h.ID, ends, brief(delivered)))
		}
		if told >= 0 && told > due+noticeSlack+rec.absent(h.Sender, h.At, told) {
			faults = append(faults, fmt.Sprintf("%s: told %v after its deadline", h.ID, told-due))
		}
		if len(delivered) > 0 && delivered[0].At > due+travel+rec.stalled(due, delivered[0].At) {
			faults = append(faults, fmt.Sprintf("%s: delivered %v after its deadline", h.ID, delivered[0].At-due))
		}
	}
	return faults
}

func brief(cs []Call) (text []string) {
	for _, c := range cs {
		text = append(text, fmt.Sprintf("%s at %v answered %v", c.Sender, c.At, c.Answered))
	}
	return text
}

// unknowable tells whether each of the calls was out when its sender was killed, or stopped (its patience runs on), or when the
// message's time was up, or had its answer torn.
func (r Record) unknowable(calls []Call, due time.Duration) bool {
	for _, c := range calls {
		if !c.Torn && c.Answered < due-travel && !slices.ContainsFunc(r.Acts, func(a Act) bool {
			return a.Sender == c.Sender && (a.What == "kill" || a.What == "stop") && a.At >= c.At-travel && (c.Answered == 0 || a.At <= c.Answered+travel)
		}) {
			return false
		}
	}
	return true
}

// unread tells whether each of the calls was answered after its sender had given it up: "failed" says that it may have run.
func unread(calls []Call) bool {
	return !slices.ContainsFunc(calls, func(c Call) bool { return !c.CallerGone })
}

// absent sums for how long of a time a sender was down or stopped.
func (r Record) absent(sender string, from, to time.Duration) (sum time.Duration) {
	away := time.Duration(-1)
	for _, a := range r.Acts {
		if a.Sender != sender || a.At > to {
			continue
		}
		switch a.What {
		case "kill", "term", "stop":
			if away < 0 {
				away = a.At
			}
		case "start", "cont":
			if away >= 0 && a.At > from {
				sum += a.At - max(away, from)
			}
			away = -1
		}
	}
	return sum
}

// Repeats finds messages that may have run more often than their lanes allow.
func Repeats(lanes map[string]Lane) Judge {
	return func(rec Record) (faults []string) {
		for _, h := range rec.HandIns {
			lane := lanes[h.Lane]
			var ran []Call
			for _, c := range rec.CallsOf(h.ID) {
				if c.Ran() {
					ran = append(ran, c)
				}
			}
			switch {
			case len(ran) < 2 || lane.Retriable:
			case !lane.Keyed:
				faults = append(faults, fmt.Sprintf("%s: may have run %d times", h.ID, len(ran)))
			case ran[len(ran)-1].At-ran[0].At > lane.Window:
				faults = append(faults, fmt.Sprintf("%s: repeated %v after its first run", h.ID, ran[len(ran)-1].At-ran[0].At))
			case slices.ContainsFunc(ran, func(c Call) bool { return c.Key != ran[0].Key || c.Key == "" }):
				faults = append(faults, h.ID+": repeated under another key")
			}
		}
		return faults
	}
}

// Waits finds calls to a destination within a wait that it has told that sender. Calls that were on their way, by slack and what the rig stalled
// meanwhile, count not, nor does what was told to an earlier process: told waits are forgotten with it.
func Waits(slack time.Duration) Judge {
	return func(rec Record) (faults []string) {
		for _, told := range rec.Calls {
			if told.Wait == 0 {
				continue
			}
			for _, c := range rec.Calls {
				if c.Sender == told.Sender && c.Dst == told.Dst && c.At > told.Answered+slack+rec.stalled(told.Answered, c.At) && c.At < told.Answered+told.Wait-time.Millisecond &&
					!rec.began(c.Sender, told.At, c.At) {
					faults = append(faults, fmt.Sprintf("%s: %s called %d %v into a wait of %v", c.ID, c.Sender, c.Dst, c.At-told.Answered, told.Wait))
				}
			}
		}
		return faults
	}
}

// began tells whether a process of a sender began between two times.
func (r Record) began(sender string, from, to time.Duration) bool {
	return slices.ContainsFunc(r.Acts, func(a Act) bool { return a.Sender == sender && a.What == "start" && a.At >= from && a.At <= to })
}

// WaitsOfAll is Waits for the whole fleet: a wait told to one is heeded by all once within has passed. Stalls of the rig, whose links stand
// still meanwhile, count not, nor does the last tenth of the wait: a sender that is told a little more later does not tell that on.
func WaitsOfAll(within time.Duration) Judge {
	return func(rec Record) (faults []string) {
		for _, told := range rec.Calls {
			for _, c := range rec.Calls {
				if told.Wait > 0 && c.Dst == told.Dst && c.At < told.Answered+told.Wait-told.Wait/notTold &&
					c.At > told.Answered+within+rec.stalled(told.Answered, c.At) {
					faults = append(faults, fmt.Sprintf("%s: %s called %d %v into a wait told to %s, %s", c.ID, c.Sender, c.Dst, c.At-told.Answered,
						told.Sender, rec.came(told, c)))
				}
			}
		}
		return faults
	}
}

// stalled sums the stalls between two times.
func (r Record) stalled(from, to time.Duration) (sum time.Duration) {
	for _, s := range r.Stalls {
		sum += max(0, min(s.To, to)-max(s.From, from))
	}
	return sum
}

// came says how long before a call the news of a wait had come to its sender.
func (r Record) came(told, c Call) string {
	for _, p := range r.Posts {
		if p.To != c.Sender || p.Fate != "passed" || p.At < told.Answered || p.At > c.At {
			continue
		}
		for _, f := range p.Frames {
			m, err := verdicts.Decode(f.Body)
			if f.Kind != links.Verdicts || err != nil {
				continue
			}
			for _, w := range m.Facts {
				if w.Dst == told.Dst && w.Kind == uint8(verdicts.Wait) && w.Origin == told.Sender {
					return fmt.Sprintf("news of which came to it by %s %v before", p.From, c.At-p.At)
				}
			}
		}
	}
	return "of which no news had come to it"
}

// Drains finds calls to a destination that is listed as draining since more than slack.
func Drains(slack time.Duration) Judge {
	return func(rec Record) (faults []string) {
		for _, c := range rec.Calls {
			serving, since := true, time.Duration(0)
			for _, l := range rec.Lists {
				if l.Sender == c.Sender && l.Dst == c.Dst && l.At <= c.At {
					serving, since = l.Serving, l.At
				}
			}
			if !serving && c.At > since+slack {
				faults = append(faults, fmt.Sprintf("%s: called %d, which drains since %v", c.ID, c.Dst, c.At-since))
			}
		}
		return faults
	}
}

// Over is by how many calls the fleet's sum to a destination went over a limit, in the worst window.
func (r Record) Over(dst int64, limit int, window time.Duration) (worst int) {
	var at []time.Duration
	for _, c := range r.Calls {
		if c.Dst == dst {
			at = append(at, c.At)
		}
	}
	slices.Sort(at)
	for from, to := 0, 0; to < len(at); to++ {
		for at[from] <= at[to]-window {
			from++
		}
		worst = max(worst, to-from+1-limit)
	}
	return worst
}

// WithinLimit finds a sum of calls that is more than over above a limit.
func WithinLimit(dst int64, limit int, window time.Duration, over int) Judge {
	return func(rec Record) []string {
		if n := rec.Over(dst, limit, window); n > over {
			return []string{fmt.Sprintf("destination %d: %d calls over its limit of %d in %v, where %d are allowed", dst, n, limit, window, over)}
		}
		return nil
	}
}

// Order finds messages of one line that ran out of order. A line names those whose order counts, and a message's place in it;
// the empty line is none. A message that surely never ran has no place.
func Order(line func(HandIn) (string, int64)) Judge {
	return func(rec Record) (faults []string) {
		type run struct {
			id          string
			place       int64
			first, last time.Duration
		}
		lines := map[string][]run{}
		seen := map[string]bool{}
		for _, h := range rec.HandIns {
			name, place := line(h)
			if name == "" || seen[h.ID] {
				continue
			}
			seen[h.ID] = true
			one := run{id: h.ID, place: place, first: -1}
			for _, c := range rec.CallsOf(h.ID) {
				if c.Ran() {
					if one.first < 0 {
						one.first = c.At
					}
					one.last = max(one.last, c.At)
				}
			}
			if one.first >= 0 {
				lines[name] = append(lines[name], one)
			}
		}
		for name, runs := range lines {
			sort.SliceStable(runs, func(i, j int) bool { return runs[i].place < runs[j].place })
			for i := 1; i < len(runs); i++ {
				if runs[i].first < runs[i-1].last {
					faults = append(faults, fmt.Sprintf("%s of %q ran before %s had ended", runs[i].id, name, runs[i-1].id))
				}
			}
		}
		slices.Sort(faults)
		return faults
	}
}

// ByKey is the order of messages with an order key, handed in at one sender over one connection after another.
func ByKey(h HandIn) (string, int64) {
	if h.OrderKey == "" || !h.Taken() {
		return "", 0
	}
	return h.Sender + " " + h.OrderKey, int64(h.At)
}

// ByChannel is the order of channels whose messages all wait for each other: of those taken on, whoever took them on.
func ByChannel(h HandIn) (string, int64) {
	if h.Channel == "" || !h.Taken() {
		return "", 0
	}
	return "channel " + h.Channel, h.Pos
}

// Judge has the judges read what has passed: the named ones and, always, one end, repeats, waits, drains and order by key.
func (r *Rig) Judge(more ...Judge) {
	r.t.Helper()
	rec := r.Record()
	for _, j := range append([]Judge{OneEnd(Lanes), Repeats(Lanes), Waits(travel), Drains(time.Second), Order(ByKey)}, more...) {
		for _, fault := range j(rec) {
			id, _, _ := strings.Cut(fault, ":")
			r.t.Errorf("%s\n%s", fault, rec.Story(id))
		}
	}
}
