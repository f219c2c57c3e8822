package fleettest

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Cost bounds of a fleet for TestScaleInShort. They limit bytes and peer messages, which unlike times do not grow on a busy machine.
const (
	maxBytesPerMessage        = 27.0  // added by a message to a destination that is up and has no limit; requests and responses including HTTP headers
	maxPeerMessagesPerMessage = 0.1   // of each kind except membership
	maxBytesPerPeerMessage    = 400.0 // of all traffic; a request and its response take 200 without a frame
	maxMemberMessageRate      = 60.0  // membership messages per sender and second; 26 is normal
	maxJoinMessages           = 40.0  // membership messages of a sender to each other one until all see each other alive
)

// Cost is the traffic of a fleet, summed over all senders.
type Cost struct {
	Senders                  int
	Seconds, Messages, Bytes float64
	PeerMessages             map[string]float64 // peer messages sent, by kind
}

func (c Cost) totalPeerMessages() (n float64) {
	for _, k := range c.PeerMessages {
		n += k
	}
	return n
}

// exceededCosts describes what a loaded fleet sends too much of, compared with an idle one. Membership messages serve as the clock, because
// their number depends on elapsed time alone.
func exceededCosts(rest, loaded Cost) (exceeded []string) {
	timeRatio := loaded.PeerMessages["members"] / rest.PeerMessages["members"]
	if n := (loaded.Bytes - rest.Bytes*timeRatio) / loaded.Messages; n > maxBytesPerMessage {
		exceeded = append(exceeded, fmt.Sprintf("bytes: %.1f per message", n))
	}
	for _, kind := range []string{"shares", "verdicts", "purge", "channels"} {
		if n := (loaded.PeerMessages[kind] - rest.PeerMessages[kind]*timeRatio) / loaded.Messages; n > maxPeerMessagesPerMessage {
			exceeded = append(exceeded, fmt.Sprintf("peer messages: %.2f on %s per message", n, kind))
		}
	}
	for _, c := range []Cost{rest, loaded} {
		if n := c.Bytes / c.totalPeerMessages(); n > maxBytesPerPeerMessage {
			exceeded = append(exceeded, fmt.Sprintf("bytes: %.0f per peer message", n))
		}
		limit := float64(c.Senders) * (maxMemberMessageRate*c.Seconds + maxJoinMessages*float64(c.Senders))
		if n := c.PeerMessages["members"]; n > limit {
			exceeded = append(exceeded, fmt.Sprintf("peer messages: %.0f on members, limit %.0f", n, limit))
		}
	}
	return exceeded
}

func TestExceededCostsAreReported(t *testing.T) {
	t.Parallel()
	goodCost := func() Cost {
		return Cost{Senders: 8, Seconds: 4, Messages: 8000, Bytes: 200_000, PeerMessages: map[string]float64{"members": 832, "verdicts": 64}}
	}
	require.Empty(t, exceededCosts(goodCost(), goodCost()))
	slow := goodCost()
	slow.Seconds, slow.Bytes, slow.PeerMessages["members"], slow.PeerMessages["verdicts"] = 40, 2_000_000, 8320, 640
	require.Empty(t, exceededCosts(goodCost(), slow), "ten times the duration for the same messages")
	for want, exceed := range map[string]func(*Cost){
		"bytes: 200.0 per message":                    func(c *Cost) { c.Bytes += 200 * c.Messages; c.PeerMessages["members"] *= 1 },
		"peer messages: 1.00 on shares per message":   func(c *Cost) { c.PeerMessages["shares"] += c.Messages },
		"peer messages: 1.00 on verdicts per message": func(c *Cost) { c.PeerMessages["verdicts"] += c.Messages },
		"peer messages: 0.11 on channels per message": func(c *Cost) { c.PeerMessages["channels"] += 0.11 * c.Messages },
		"bytes: 1116 per peer message":                func(c *Cost) { c.Bytes *= 5 },
		"peer messages: 8320 on members, limit 4480":  func(c *Cost) { c.PeerMessages["members"] *= 10; c.Bytes *= 10 },
	} {
		c := goodCost()
		exceed(&c)
		require.True(t, slices.Contains(exceededCosts(goodCost(), c), want), "%s: %v", want, exceededCosts(goodCost(), c))
	}
}
