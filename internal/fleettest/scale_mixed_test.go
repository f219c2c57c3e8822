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

const defaultStubSenders = 6 // in CI; FLEETTEST_SCALE_BESIDE overrides it

// mixedFleet is a fleet of processes of the program and of stub senders.
type mixedFleet struct {
	*Rig
	*StubFleet
	processes []PeerAddr
}

// newMixedFleet starts the stub senders and prepares the processes. All links between processes, and both links between a and h000, have
// fault proxies.
func newMixedFleet(t *testing.T, stubs int) *mixedFleet {
	m := &mixedFleet{}
	m.Rig = New(t, Setup{Senders: 3, OperatorFile: m.operatorFile})
	for _, s := range m.senders {
		m.processes = append(m.processes, PeerAddr{s.Name, s.LinkAddr})
	}
	inbound := newLink(m.Rig, "h000", "a", m.processes[0].Addr, 1)
	m.links[[2]string{"h000", "a"}] = inbound
	m.StubFleet = NewStubFleet(t, stubs, 0, StubOptions{}, 1, m.processes, map[[2]string]string{{"h000", "a"}: inbound.Addr()})
	m.links[[2]string{"a", "h000"}] = newLink(m.Rig, "a", "h000", m.Listed[0].Addr, 2)
	return m
}

// operatorFile is the operator's file of a process, with the same fleet as fleetTable.
func (m *mixedFleet) operatorFile(s *Sender) string {
	var b strings.Builder
	b.WriteString("version = 1\n[kept]\n" + s.LinksTOML("fleet", fmt.Sprint("orders_dst = ", ordersDestination)))
	for _, p := range m.Listed {
		if l := m.Rig.Link(s.Name, p.Name); l != nil {
			p.Addr = l.Addr()
		}
		fmt.Fprintf(&b, "[[fleet.peer]]\nname = %q\naddress = %q\n", p.Name, p.Addr)
	}
	b.WriteString("[[fleet.tenant]]\nname = \"acme\"\ndst = [7]\n[fleet.limits]\n[fleet.verdicts]\n[fleet.channels]\n")
	return b.String()
}

// waitProcessesSee waits until every running process has logged the given state for all peers.
func (m *mixedFleet) waitProcessesSee(state members.State, peers []PeerAddr) {
	m.Rig.t.Helper()
	for _, s := range m.senders {
		if !s.Running() {
			continue
		}
		deadline := time.Now().Add(scaleTimeout)
		for !s.seesAll(state, others(peers, PeerAddr{s.Name, s.LinkAddr})) {
			require.True(m.Rig.t, time.Now().Before(deadline), "%s has not seen all peers %v in time", s.Name, state)
			time.Sleep(scalePollInterval)
		}
	}
}

func (s *Sender) seesAll(state members.State, peers []PeerAddr) bool {
	states := map[string]string{}
	for _, l := range logLines(s, "member") {
		states[fmt.Sprint(l["name"])] = fmt.Sprint(l["state"])
	}
	for _, p := range peers {
		if states[p.Name] != state.String() {
			return false
		}
	}
	return true
}

// waitAllAlive waits until every process and every stub sender sees all others alive.
func (m *mixedFleet) waitAllAlive() {
	m.Rig.t.Helper()
	m.WaitAllAlive(m.processes...)
	m.waitProcessesSee(members.Alive, append(append([]PeerAddr(nil), m.Listed...), m.processes...))
}

// cpuTime is the CPU time that the process has used.
func (s *Sender) cpuTime() time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	if f := strings.Fields(rest); len(f) > 13 {
		user, _ := strconv.Atoi(f[11])
		system, _ := strconv.Atoi(f[12])
		return time.Duration(user+system) * 10 * time.Millisecond // USER_HZ is 100 on Linux
	}
	return 0
}

// logIdleCost logs the idle CPU cost of processes with and without a fleet, and of stub senders, for comparison.
func (m *mixedFleet) logIdleCost() {
	plain := New(m.Rig.t, Setup{Senders: 3})
	plain.Start()
	cpuBefore, from := map[*Sender]time.Duration{}, time.Now()
	for _, s := range append(plain.Senders(), m.senders...) {
		cpuBefore[s] = s.cpuTime()
	}
	r := m.measureLoad(Load{}, 1)
	elapsed := time.Since(from).Seconds()
	for s, start := range cpuBefore {
		m.Rig.t.Logf("idle process %s, in the fleet %v: %.2f%% of a core; a stub sender, including the test rig: %.2f%%", s.Name, s.r == m.Rig,
			100*(s.cpuTime()-start).Seconds()/elapsed, r["core"])
	}
}

// Guards against members that do not see each other again after a kill and link faults, and against peer messages that a receiver logs as bad.
func TestProcessesAndStubSendersRecoverMembership(t *testing.T) {
	t.Parallel()
	n, err := strconv.Atoi(os.Getenv("FLEETTEST_SCALE_BESIDE"))
	if err != nil {
		n = defaultStubSenders
	}
	m := newMixedFleet(t, n)
	m.Rig.Start()
	m.waitAllAlive()
	if n > defaultStubSenders {
		m.logIdleCost()
	}
	m.Load(Load{Thin: thinRate, Limited: 1, Down: 1})
	m.Rig.Link("a", "b").Set(Faults{Loss: 0.3})
	m.Rig.Link("b", "c").Set(Faults{Delay: 50 * time.Millisecond})
	m.Rig.Link("c", "a").Set(Faults{Cut: true})
	m.Rig.Link("h000", "a").Set(Faults{Duplication: 0.3, Reordering: 0.3, ReplayDelay: 300 * time.Millisecond})
	c := m.Client(0)
	for i := range 12 {
		c.HandIn(Message{ID: fmt.Sprint("m", i), Class: "notice", Dst: 7})
	}
	b := m.processes[1:2]
	m.Rig.Sender("b").Kill()
	m.StubFleet.WaitUntil("all stub senders see b dead", func(h *StubSender) bool { return h.Records.sees(members.Dead, b) })
	m.waitProcessesSee(members.Dead, b)
	m.Rig.Link("a", "h000").Set(Faults{Cut: true})
	m.Rig.Sender("b").Start()
	m.Heal()
	m.waitAllAlive()
	for _, h := range m.Local {
		require.Equal(t, "2", h.Records.incarnation("b"), h.Name)
		for text := range h.Records.problemCounts() {
			require.NotContains(t, text, "bad letter", h.Name)
		}
	}
	m.UntilEnded()
	m.Check()
	for _, s := range m.senders {
		require.NotContains(t, s.Log(), "without the fleet")
		require.NotContains(t, s.Log(), "bad letter")
	}
}
