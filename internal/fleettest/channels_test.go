package fleettest

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const channelsTOML = "orders_dst = 1000\nmost_mb = 0.25\n[[fleet.tenant]]\nname = \"acme\"\ndst = [7]\n" +
	"[fleet.channels]\nlease = \"1200ms\"\nleg = \"3s\"\nlive = \"300ms\"\ndrain = \"300ms\"\n"

// ordering is a rig with channel x to destination 7, whose gap rule is named.
func ordering(t *testing.T, gap string) *Rig {
	r := New(t, Setup{Senders: 3, Destinations: []int64{acme}, Operator: func(s *Sender) string {
		return "version = 1\n" + strings.Replace(s.LinksTOML("fleet"), "[[fleet.peer]]", channelsTOML+"[[fleet.peer]]", 1)
	}})
	r.Start()
	order := `{"order":"contract","channel":"x","tenant":"acme","dst":7,"mode":"whole","gap":"` + gap + `","wait":"1s","most_hold":"8s","version":1}`
	r.take(0, Message{ID: "contract", Lane: "once", Dst: orders, Body: order})
	return r
}

// stream is a client of channel x. It goes on where it is told, and hands a position in under one id until it has an answer.
type stream struct {
	r    *Rig
	c    *Client
	next int64
}

func (r *Rig) stream() *stream { return &stream{r: r, c: r.Client(0), next: 1} }

// position reads the position of an answer, -1 for none.
func position(answer string) int64 {
	_, pos, there := strings.Cut(answer, " pos=")
	if n, err := strconv.ParseInt(pos, 10, 64); there && err == nil {
		return n
	}
	return -1
}

// hand has so many more messages taken on.
func (s *stream) hand(n int) {
	s.r.t.Helper()
	for deadline := time.Now().Add(long); n > 0; {
		require.True(s.r.t, time.Now().Before(deadline), "position %d is not taken on", s.next)
		answer := s.c.HandIn(Message{ID: fmt.Sprint("x", s.next), Lane: "once", Dst: acme, Fields: fmt.Sprint("ch=x,pos=", s.next), Within: 12 * time.Second})
		if strings.HasPrefix(answer, "+OK") {
			n--
		}
		if last := position(answer); last >= 0 {
			s.next = last + 1
		}
		if strings.HasPrefix(answer, "-BUSY") {
			time.Sleep(50 * time.Millisecond) // as a client waits that is told to come back
		}
	}
}

// elsewhere has the client lose its connection and go on at another sender.
func (s *stream) elsewhere(sender int) { s.c.Leave(); s.c = s.r.Client(sender) }

// judge reads what the receiver got: ascending positions, none twice.
func (s *stream) judge() {
	s.r.t.Helper()
	last := int64(0)
	for _, c := range s.r.Record().Calls {
		pos, err := strconv.ParseInt(strings.TrimPrefix(c.ID, "x"), 10, 64)
		if err != nil || !c.Ran() {
			continue
		}
		assert.Greater(s.r.t, pos, last, "position %d came after %d", pos, last)
		last = pos
	}
}

func (s *stream) until(pos int64) {
	s.r.t.Helper()
	s.r.Until(fmt.Sprint("position ", pos, " is delivered"), func(rec Record) bool {
		return slices.ContainsFunc(rec.Calls, func(c Call) bool { return c.ID == fmt.Sprint("x", pos) && c.Status == 200 })
	})
}

func TestChannelMovesAndDrains(t *testing.T) {
	t.Parallel()
	r := ordering(t, "wait")
	s := r.stream()
	s.hand(20)
	s.elsewhere(1)
	s.hand(20)
	r.Sender("b").Term()
	s.elsewhere(2)
	s.hand(20)
	s.until(60)
	assert.Equal(t, int64(61), s.next, "nothing was skipped")
	s.judge()
}

func TestChannelOwnerKilledAndBack(t *testing.T) {
	t.Parallel()
	r := ordering(t, "wait")
	s := r.stream()
	s.hand(15)
	r.Sender("a").Kill()
	s.elsewhere(1)
	r.Sender("a").Start()
	s.hand(15)
	s.until(s.next - 1)
	assert.Equal(t, int64(31), s.next)
	s.judge()
}

func TestChannelOwnerGone(t *testing.T) {
	t.Parallel()
	r := ordering(t, "skip")
	s := r.stream()
	s.hand(15)
	r.Sender("a").Kill()
	s.elsewhere(1)
	s.hand(15)
	s.until(s.next - 1)
	assert.Greater(t, s.next, int64(31), "what the owner may have taken on was skipped")
	s.judge()
}

func TestChannelOwnerStoppedAndCutOff(t *testing.T) {
	t.Parallel()
	r := ordering(t, "skip")
	s := r.stream()
	s.hand(10)
	r.Sender("a").Stop()
	s.elsewhere(1)
	s.hand(10)
	r.Sender("a").Cont()
	s.hand(5)
	r.Cut([]string{"b"}, []string{"a", "c"})
	s.elsewhere(2)
	s.hand(10)
	r.Heal()
	s.elsewhere(1)
	s.hand(5)
	s.until(s.next - 1)
	s.judge()
}
