package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"ravenlink/internal/channels"
	"ravenlink/internal/fleet"
	"ravenlink/internal/links"
	"ravenlink/internal/strict"
)

// stream is three senders with channels, and one client that goes on where it is told.
type stream struct {
	t    *testing.T
	all  []*world
	stop []func()
	at   []string

	mu  sync.Mutex
	ran []string // ids, as receivers got them
}

func newStream(t *testing.T, k channels.Contract) *stream {
	s := &stream{t: t}
	answer := func(id string, _ int, out http.ResponseWriter) {
		if id == "probe" {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ran = append(s.ran, id)
	}
	for range 3 {
		s.at = append(s.at, reserved(t))
		s.all = append(s.all, newWorld(t, answer))
	}
	for i := range s.all {
		s.stop = append(s.stop, s.start(i))
	}
	require.NoError(t, s.all[0].sender.ordered.Declare(k))
	return s
}

func (s *stream) start(i int) (stop func()) {
	w := s.all[i]
	w.writeConfig()
	p, err := New(w.env, zap.NewNop(), nil, nil)
	require.NoError(s.t, err)
	w.sender, p.listWait = p, long
	span := func(d time.Duration) strict.Span { return strict.Span(d.Microseconds()) }
	table := fleet.Table{Name: "east", Self: fmt.Sprint("n", i), Listen: s.at[i], Channels: &fleet.Channels{Lease: span(900 * time.Millisecond),
		Leg: span(3 * time.Second), Live: span(200 * time.Millisecond)}}
	for j, at := range s.at {
		if j != i {
			table.Peers = append(table.Peers, links.PeerTable{Name: fmt.Sprint("n", j), Address: at})
		}
	}
	table.Fill()
	table.Check(func(setting, what string) { s.t.Errorf("%s: %s", setting, what) })
	p.Fleet(table)
	require.NotNil(s.t, p.ordered)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	stop = sync.OnceFunc(func() { cancel(); assert.NoError(s.t, <-done) })
	s.t.Cleanup(stop)
	return stop
}

// last reads the position of an answer, -1 for none.
func last(answer string) int {
	_, pos, there := strings.Cut(answer, " pos=")
	if n, err := strconv.Atoi(pos); there && err == nil {
		return n
	}
	return -1
}

// until hands a position in until it is not told to come back, on one connection. Its message may wait 600 s for
// its turn, as the contracts here have it (MostHold), so none is over before the test is.
func (s *stream) until(c *client, pos int) (answer string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		answer = c.say(handIn(fmt.Sprint("m", pos), fmt.Sprintf("c=notice,d=600000,k=k%d,dest=7,ch=x,pos=%d", pos, pos), ""))
		return !strings.HasPrefix(answer, "-BUSY")
	}, long, 20*time.Millisecond)
	return answer
}

func (s *stream) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ran...)
}

func ids(n int) (all []string) {
	for i := 1; i <= n; i++ {
		all = append(all, fmt.Sprint("m", i))
	}
	return all
}

// A client that goes from sender to sender, one of which ends meanwhile, has its messages delivered in order, each once.
func TestAChannelGoesOnAtOtherSenders(t *testing.T) {
	s := newStream(t, channels.Contract{Channel: "x", Tenant: "t", Dst: 7, Mode: channels.Whole, Gap: channels.Wait, Wait: 2e6, Window: 64, PassFailed: true,
		MostHold: 600e6, Version: 1, From: 1})
	for pos := 1; pos <= 60; {
		sender := (pos - 1) / 20
		c := s.all[sender].dial()
		for ; pos <= 20*(sender+1); pos++ {
			require.Equal(t, fmt.Sprint("+OK pos=", pos), s.until(c, pos))
		}
		require.Equal(t, fmt.Sprint("+OK pos=", pos-1), s.until(c, pos-1), "a doubled position")
		require.NoError(t, c.Close())
		if sender == 0 {
			s.stop[0]() // it drains, and gives the channel up
		}
	}
	require.Eventually(t, func() bool { return len(s.seen()) >= 60 }, long, glimpse)
	assert.Equal(t, ids(60), s.seen())
	for _, w := range s.all {
		assert.Empty(t, w.notices)
	}
}

func TestPlainHandInsBesideChannels(t *testing.T) {
	s := newStream(t, channels.Contract{Channel: "x", Tenant: "t", Dst: 7, Mode: channels.None, Gap: channels.Skip, Window: 8, PassFailed: true,
		MostHold: 600e6, Version: 1, From: 1})
	c := s.all[1].dial()
	assert.Equal(t, "+OK", c.say(handIn("plain", keyed, "")))
	assert.Equal(t, "-ERR no contract for channel z", s.wordOn(c, "z"))
	assert.Equal(t, "+OK pos=1", s.until(c, 1))
	assert.True(t, strings.HasPrefix(s.until(c, 0), "-ERR"))
	off := newWorld(t, ok)
	off.start()
	assert.Equal(t, "-ERR channels are off here", off.dial().say(handIn("a", "c=notice,d=8000,dest=7,ch=x,pos=1", "")))
	require.Eventually(t, func() bool { return len(s.seen()) == 2 }, long, glimpse)
}

func (s *stream) wordOn(c *client, channel string) (answer string) {
	require.Eventually(s.t, func() bool {
		answer = c.say(handIn("other", "c=notice,d=8000,dest=7,pos=1,ch="+channel, ""))
		return !strings.HasPrefix(answer, "-BUSY")
	}, long, 20*time.Millisecond)
	return answer
}
