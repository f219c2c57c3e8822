package fleettest

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"ravenlink/internal/links"
	"ravenlink/internal/spool"
)

// Transcript collects a whole exchange as text: what each end saw, in its own order, and what the state folders contained. The text is
// normalised so that each run gives the same bytes: addresses are replaced by names, times and remaining times are removed.
//
// Compare compares it with the approved transcript in testdata/NAME.golden and shows the difference. To approve a changed one, run
//
//	go test ./internal/fleettest -run Transcript -update
type Transcript struct {
	r       *Rig
	written Record // the part of the record that is in the text
	text    strings.Builder

	repeatedNotices map[string]int // repeated notices that were omitted, by sender
}

// Transcript starts a transcript.
func (r *Rig) Transcript() *Transcript { return &Transcript{r: r, repeatedNotices: map[string]int{}} }

// Phase writes the traffic since the last phase under a title. The test must have waited for all of it.
func (t *Transcript) Phase(title string) {
	rec := t.r.Record()
	fmt.Fprintf(&t.text, "== %s\n", title)
	t.section("senders", len(t.written.Actions), len(rec.Actions), func(i int) string { return rec.Actions[i].Sender + ": " + rec.Actions[i].What })
	t.section("clients", len(t.written.HandIns), len(rec.HandIns), func(i int) string {
		h := rec.HandIns[i]
		return fmt.Sprintf("to %s: ENQUEUE %s %s %s %q\nfrom %s: %s", h.Sender, encodeOrderKey(h.Message), h.ID, encodeFields(h.Message), h.Body, h.Sender, h.Answer)
	})
	for _, dst := range t.r.setup.Destinations {
		var calls []string
		for _, c := range rec.Calls[len(t.written.Calls):] {
			if c.Dst == dst {
				calls = append(calls, fmt.Sprintf("from %s: %s\nanswered %s", c.Sender, strings.TrimSpace(c.RawRequest), status(c)))
			}
		}
		t.section(fmt.Sprintf("receiver of %d", dst), 0, len(calls), func(i int) string { return calls[i] })
	}
	notices := t.notices(rec)
	t.section("platform", 0, len(notices), func(i int) string {
		return fmt.Sprintf("from %s: %s %s", notices[i].Sender, notices[i].ID, notices[i].State)
	})
	t.written = rec
}

// notices returns the notices since the last phase. A sender sends a notice again if the answer takes longer than 80 ms, which happens under
// load; the platform then has it already and takes the second as a duplicate. As many repeated notices are omitted as the sender logged as
// not taken.
func (t *Transcript) notices(rec Record) (fresh []Notice) {
	known := map[[3]string]bool{}
	for _, n := range t.written.Notices {
		known[[3]string{n.Sender, n.ID, n.State}] = true
	}
	for _, n := range rec.Notices[len(t.written.Notices):] {
		key := [3]string{n.Sender, n.ID, n.State}
		if known[key] && t.repeatedNotices[n.Sender] < len(logLines(t.r.Sender(n.Sender), "notices not taken")) {
			t.repeatedNotices[n.Sender]++
			continue
		}
		known[key] = true
		fresh = append(fresh, n)
	}
	return fresh
}

func status(c Call) string {
	switch {
	case c.Status == 0:
		return "nothing"
	case c.RetryAfter > 0:
		return fmt.Sprintf("%d, retry after %v", c.Status, c.RetryAfter)
	}
	return fmt.Sprint(c.Status)
}

func (t *Transcript) section(title string, from, to int, line func(int) string) {
	if from == to {
		return
	}
	fmt.Fprintf(&t.text, "-- %s\n", title)
	for i := from; i < to; i++ {
		fmt.Fprintln(&t.text, strings.ReplaceAll(line(i), "\n", "\n   "))
	}
}

// Links writes which facts were delivered on which links since the transcript started. Each is written once, because the number of repeats
// depends on timing. label returns a description of a fact without parts that vary from run to run, or an empty one to omit it.
func (t *Transcript) Links(label func(Post, links.Frame) string) {
	delivered := map[string]bool{}
	for _, p := range t.r.Record().Posts {
		for _, f := range p.Frames {
			if what := label(p, f); what != "" && p.Outcome == "delivered" {
				delivered[fmt.Sprintf("%s to %s: %s", p.From, p.To, what)] = true
			}
		}
	}
	lines := slices.Sorted(maps.Keys(delivered))
	t.section("links", 0, len(lines), func(i int) string { return lines[i] })
}

// Disk writes the messages that a sender's folder owes, read from a copy of it.
func (t *Transcript) Disk(one *Sender) {
	dir, err := os.MkdirTemp("", "disk")
	require.NoError(t.r.t, err)
	defer func() { _ = os.RemoveAll(dir) }()
	copyLive(t.r.t, filepath.Join(dir, "copy"), one.Folder())
	s, notes, err := spool.Open(filepath.Join(dir, "copy"), 3e6)
	require.NoError(t.r.t, err)
	fmt.Fprintf(&t.text, "-- folder of %s\n", one.Name)
	for _, n := range notes {
		fmt.Fprintln(&t.text, "note:", n)
	}
	owed := s.Pending()
	slices.SortFunc(owed, func(a, b *spool.Message) int { return strings.Compare(a.ID, b.ID) })
	for _, m := range owed {
		fmt.Fprintf(&t.text, "owed: %s, class %s, key %s, destination %d, %d legs, %q\n", m.ID, m.Class, m.Key, m.Dst, len(m.Legs), m.Body)
	}
	if len(owed) == 0 {
		fmt.Fprintln(&t.text, "nothing owed")
	}
	require.NoError(t.r.t, s.Close())
}

var remainingTime = regexp.MustCompile(`X-Remaining-Ms: \d+`)

// String returns the normalised text.
func (t *Transcript) String() string {
	text := strings.ReplaceAll(t.text.String(), "\r", "")
	text = remainingTime.ReplaceAllString(text, "X-Remaining-Ms: MS")
	names := map[string]string{}
	for _, s := range t.r.senders {
		names[s.ClientAddr], names[s.LinkAddr] = "sender-"+s.Name, "links-"+s.Name
		names[s.platform.server.Listener.Addr().String()] = "platform"
		for dst, server := range s.receivers {
			names[server.Listener.Addr().String()] = fmt.Sprintf("receiver-%d", dst)
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(names)) {
		text = strings.ReplaceAll(text, addr, names[addr])
	}
	return text
}

// Compare fails the test if the transcript differs from the approved one, and shows the difference.
func (t *Transcript) Compare(name string) {
	t.r.t.Helper()
	goldie.New(t.r.t, goldie.WithDiffEngine(goldie.ColoredDiff)).Assert(t.r.t, name, []byte(t.String()))
}
