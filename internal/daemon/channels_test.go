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

// channelEnv has three senders with channels and records the calls of their receivers.
type channelEnv struct {
	t     *testing.T
	envs  []*testEnv
	stop  []func()
	addrs []string

	mu    sync.Mutex
	calls []string // ids in order of receipt
}

func newChannelEnv(t *testing.T, k channels.Contract) *channelEnv {
	s := &channelEnv{t: t}
	answer := func(id string, _ int, out http.ResponseWriter) {
		if id == "probe" {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls = append(s.calls, id)
	}
	for range 3 {
		s.addrs = append(s.addrs, reserveAddr(t))
		s.envs = append(s.envs, newTestEnv(t, answer))
	}
	for i := range s.envs {
		s.stop = append(s.stop, s.start(i))
	}
	require.NoError(t, s.envs[0].sender.ordered.Declare(k))
	return s
}

func (s *channelEnv) start(i int) (stop func()) {
	w := s.envs[i]
	w.writeConfig()
	p, err := New(w.env, zap.NewNop(), nil, nil)
	require.NoError(s.t, err)
	w.sender, p.firstListTimeout = p, testTimeout
	span := func(d time.Duration) strict.Duration { return strict.Duration(d.Microseconds()) }
	table := fleet.Table{Name: "east", Self: fmt.Sprint("n", i), Listen: s.addrs[i], Channels: &fleet.Channels{Lease: span(900 * time.Millisecond),
		Leg: span(3 * time.Second), Live: span(200 * time.Millisecond)}}
	for j, at := range s.addrs {
		if j != i {
			table.Peers = append(table.Peers, links.PeerTable{Name: fmt.Sprint("n", j), Address: at})
		}
	}
	table.SetDefaults()
	table.Validate(func(setting, what string) { s.t.Errorf("%s: %s", setting, what) })
	p.JoinFleet(table)
	require.NotNil(s.t, p.ordered)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	stop = sync.OnceFunc(func() { cancel(); assert.NoError(s.t, <-done) })
	s.t.Cleanup(stop)
	return stop
}

// replyPosition returns the position in a reply, -1 for none.
func replyPosition(answer string) int {
	_, pos, there := strings.Cut(answer, " pos=")
	if n, err := strconv.Atoi(pos); there && err == nil {
		return n
	}
	return -1
}

// handInAt hands in a position on one connection until the reply is not -BUSY. Its message may wait 600 s for its turn,
// the MaxHold of the contracts here, so that none expires during the test.
func (s *channelEnv) handInAt(c *testClient, pos int) (answer string) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		answer = c.send(handIn(fmt.Sprint("m", pos), fmt.Sprintf("c=notice,d=600000,k=k%d,dest=7,ch=x,pos=%d", pos, pos), ""))
		return !strings.HasPrefix(answer, "-BUSY")
	}, testTimeout, 20*time.Millisecond)
	return answer
}

func (s *channelEnv) delivered() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

func ids(n int) (all []string) {
	for i := 1; i <= n; i++ {
		all = append(all, fmt.Sprint("m", i))
	}
	return all
}

// A client moves from sender to sender, one of which exits meanwhile: its messages are delivered in order, each once.
func TestChannelContinuesAtOtherSenders(t *testing.T) {
	s := newChannelEnv(t, channels.Contract{Channel: "x", Tenant: "t", Dst: 7, Mode: channels.Whole, Gap: channels.Wait, Wait: 2e6, Window: 64, PassFailed: true,
		MaxHold: 600e6, Version: 1, From: 1})
	for pos := 1; pos <= 60; {
		sender := (pos - 1) / 20
		c := s.envs[sender].dial()
		for ; pos <= 20*(sender+1); pos++ {
			require.Equal(t, fmt.Sprint("+OK pos=", pos), s.handInAt(c, pos))
		}
		require.Equal(t, fmt.Sprint("+OK pos=", pos-1), s.handInAt(c, pos-1), "a doubled position")
		require.NoError(t, c.Close())
		if sender == 0 {
			s.stop[0]() // it drains and releases the channel
		}
	}
	require.Eventually(t, func() bool { return len(s.delivered()) >= 60 }, testTimeout, testInterval)
	assert.Equal(t, ids(60), s.delivered())
	for _, w := range s.envs {
		assert.Empty(t, w.notices)
	}
}

func TestPlainHandInsAlongsideChannels(t *testing.T) {
	s := newChannelEnv(t, channels.Contract{Channel: "x", Tenant: "t", Dst: 7, Mode: channels.None, Gap: channels.Skip, Window: 8, PassFailed: true,
		MaxHold: 600e6, Version: 1, From: 1})
	c := s.envs[1].dial()
	assert.Equal(t, "+OK", c.send(handIn("plain", keyed, "")))
	assert.Equal(t, "-ERR no contract for channel z", s.replyFor(c, "z"))
	assert.Equal(t, "+OK pos=1", s.handInAt(c, 1))
	assert.True(t, strings.HasPrefix(s.handInAt(c, 0), "-ERR"))
	off := newTestEnv(t, ok)
	off.start()
	assert.Equal(t, "-ERR channels are off here", off.dial().send(handIn("a", "c=notice,d=8000,dest=7,ch=x,pos=1", "")))
	require.Eventually(t, func() bool { return len(s.delivered()) == 2 }, testTimeout, testInterval)
}

func (s *channelEnv) replyFor(c *testClient, channel string) (answer string) {
	require.Eventually(s.t, func() bool {
		answer = c.send(handIn("other", "c=notice,d=8000,dest=7,pos=1,ch="+channel, ""))
		return !strings.HasPrefix(answer, "-BUSY")
	}, testTimeout, 20*time.Millisecond)
	return answer
}
