package fleettest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/members"
)

const besideUsual = 6 // hollow senders in CI; FLEETTEST_SCALE_BESIDE says others

// mixed is a fleet of processes of the program and of hollow senders.
type mixed struct {
	*Rig
	*HollowFleet
	real []Place
}

// newMixed has proxies in all links between processes, and in those of a and h000 both ways.
func newMixed(t *testing.T, hollow int) *mixed {
	m := &mixed{}
	m.Rig = New(t, Setup{Senders: 3, Operator: m.operator})
	for _, s := range m.senders {
		m.real = append(m.real, Place{s.Name, s.Links})
	}
	in := newLink(m.Rig, "h000", "a", m.real[0].Addr, 1)
	m.links[[2]string{"h000", "a"}] = in
	m.HollowFleet = NewHollowFleet(t, hollow, 0, Wants{}, 1, m.real, map[[2]string]string{{"h000", "a"}: in.Addr()})
	m.links[[2]string{"a", "h000"}] = newLink(m.Rig, "a", "h000", m.Listed[0].Addr, 2)
	return m
}

// operator is a process' operator's file: the fleet of tableOf.
func (m *mixed) operator(s *Sender) string {
	var b strings.Builder
	b.WriteString("version = 1\n[kept]\n" + s.LinksTOML("fleet", fmt.Sprint("orders_dst = ", ordersDst)))
	for _, p := range m.Listed {
		if l := m.Rig.Link(s.Name, p.Name); l != nil {
			p.Addr = l.Addr()
		}
		fmt.Fprintf(&b, "[[fleet.peer]]\nname = %q\naddress = %q\n", p.Name, p.Addr)
	}
	b.WriteString("[[fleet.tenant]]\nname = \"acme\"\ndst = [7]\n[fleet.limits]\n[fleet.verdicts]\n[fleet.channels]\n")
	return b.String()
}

// processesSee waits until each process that runs sees each of these so.
func (m *mixed) processesSee(state members.State, all []Place) {
	m.Rig.t.Helper()
	for _, s := range m.senders {
		if !s.Running() {
			continue
		}
		limit := time.Now().Add(patience)
		for !s.seesAll(state, besides(all, Place{s.Name, s.Links})) {
			require.True(m.Rig.t, time.Now().Before(limit), "%s never sees all %v", s.Name, state)
			time.Sleep(scaleLook)
		}
	}
}

func (s *Sender) seesAll(state members.State, all []Place) bool {
	sees := map[string]string{}
	for _, l := range logLines(s, "member") {
		sees[fmt.Sprint(l["name"])] = fmt.Sprint(l["state"])
	}
	for _, p := range all {
		if sees[p.Name] != state.String() {
			return false
		}
	}
	return true
}

// allSee waits until each of both kinds sees each other alive.
func (m *mixed) allSee() {
	m.Rig.t.Helper()
	m.UntilMet(m.real...)
	m.processesSee(members.Alive, append(append([]Place(nil), m.Listed...), m.real...))
}

// core is the processor time that a process has used.
func (s *Sender) core() time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	if f := strings.Fields(rest); len(f) > 13 {
		user, _ := strconv.Atoi(f[11])
		system, _ := strconv.Atoi(f[12])
		return time.Duration(user+system) * 10 * time.Millisecond // ticks of a hundredth, as everywhere on Linux
	}
	return 0
}

// weigh sets what the processes cost at rest beside what the hollow ones do, and what processes without a fleet do.
func (m *mixed) weigh() {
	plain := New(m.Rig.t, Setup{Senders: 3})
	plain.Start()
	was, from := map[*Sender]time.Duration{}, time.Now()
	for _, s := range append(plain.Senders(), m.senders...) {
		was[s] = s.core()
	}
	r := m.window(Load{}, 1)
	took := time.Since(from).Seconds()
	for s, before := range was {
		m.Rig.t.Logf("process %s at rest, in the fleet %v: %.2f%% of a core; a hollow sender, with the rig's own: %.2f%%", s.Name, s.r == m.Rig,
			100*(s.core()-before).Seconds()/took, r["core"])
	}
}

func TestProcessesAmongHollowSendersSeeAllAgain(t *testing.T) {
	t.Parallel()
	n, err := strconv.Atoi(os.Getenv("FLEETTEST_SCALE_BESIDE"))
	if err != nil {
		n = besideUsual
	}
	m := newMixed(t, n)
	m.Rig.Start()
	m.allSee()
	if n > besideUsual {
		m.weigh()
	}
	m.Load(Load{Thin: thinly, Limited: 1, Down: 1})
	m.Rig.Link("a", "b").Set(Faults{Loss: 0.3})
	m.Rig.Link("b", "c").Set(Faults{Delay: 50 * time.Millisecond})
	m.Rig.Link("c", "a").Set(Faults{Cut: true})
	m.Rig.Link("h000", "a").Set(Faults{Doubles: 0.3, Disorder: 0.3, ReplayWait: 300 * time.Millisecond})
	c := m.Client(0)
	for i := range 12 {
		c.HandIn(Message{ID: fmt.Sprint("m", i), Lane: "notice", Dst: 7})
	}
	b := m.real[1:2]
	m.Rig.Sender("b").Kill()
	m.HollowFleet.Until("b is gone", func(h *Hollow) bool { return h.Lines.sees(members.Gone, b) })
	m.processesSee(members.Gone, b)
	m.Rig.Link("a", "h000").Set(Faults{Cut: true})
	m.Rig.Sender("b").Start()
	m.Heal()
	m.allSee()
	for _, h := range m.Own {
		require.Equal(t, "2", h.Lines.incarnation("b"), h.Name)
		for text := range h.Lines.warnings() {
			require.NotContains(t, text, "bad letter", h.Name)
		}
	}
	m.UntilEnded()
	m.Judge()
	for _, s := range m.senders {
		require.NotContains(t, s.Log(), "without the fleet")
		require.NotContains(t, s.Log(), "bad letter")
	}
}
