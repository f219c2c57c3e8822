package fleettest

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Bounds of what a fleet may cost, for the short form. They count bytes and letters: a busy machine makes seconds longer, and these not greater.
const (
	mostBytesAMessage   = 27.0  // that messages to destinations which are up and have no limit add, posts and answers, heads included
	mostLettersAMessage = 0.1   // of each kind but members'
	mostBytesALetter    = 400.0 // of all that passed; a post and its answer are 200 without a frame
	mostBeats           = 60.0  // letters on members a sender and second; usual are 26
	meeting             = 40.0  // letters on members to each other sender until all have met
)

// Cost is what a fleet has told, all senders together.
type Cost struct {
	Senders                  int
	Seconds, Messages, Bytes float64
	Letters                  map[string]float64 // sent, by kind
}

func (c Cost) letters() (n float64) {
	for _, k := range c.Letters {
		n += k
	}
	return n
}

// costly names what a loaded fleet tells too much of, beside one at rest. Letters on members are the clock: their number goes with time alone.
func costly(rest, loaded Cost) (faults []string) {
	beats := loaded.Letters["members"] / rest.Letters["members"]
	if n := (loaded.Bytes - rest.Bytes*beats) / loaded.Messages; n > mostBytesAMessage {
		faults = append(faults, fmt.Sprintf("bytes: %.1f a message", n))
	}
	for _, kind := range []string{"shares", "verdicts", "purge", "channels"} {
		if n := (loaded.Letters[kind] - rest.Letters[kind]*beats) / loaded.Messages; n > mostLettersAMessage {
			faults = append(faults, fmt.Sprintf("letters: %.2f on %s a message", n, kind))
		}
	}
	for _, c := range []Cost{rest, loaded} {
		if n := c.Bytes / c.letters(); n > mostBytesALetter {
			faults = append(faults, fmt.Sprintf("bytes: %.0f a letter", n))
		}
		most := float64(c.Senders) * (mostBeats*c.Seconds + meeting*float64(c.Senders))
		if n := c.Letters["members"]; n > most {
			faults = append(faults, fmt.Sprintf("letters: %.0f on members, %.0f are allowed", n, most))
		}
	}
	return faults
}

func TestCostJudgeFindsEachFault(t *testing.T) {
	t.Parallel()
	sound := func() Cost {
		return Cost{Senders: 8, Seconds: 4, Messages: 8000, Bytes: 200_000, Letters: map[string]float64{"members": 832, "verdicts": 64}}
	}
	require.Empty(t, costly(sound(), sound()))
	slow := sound()
	slow.Seconds, slow.Bytes, slow.Letters["members"], slow.Letters["verdicts"] = 40, 2_000_000, 8320, 640
	require.Empty(t, costly(sound(), slow), "ten times the time for the same messages")
	for want, plant := range map[string]func(*Cost){
		"bytes: 200.0 a message":                     func(c *Cost) { c.Bytes += 200 * c.Messages; c.Letters["members"] *= 1 },
		"letters: 1.00 on shares a message":          func(c *Cost) { c.Letters["shares"] += c.Messages },
		"letters: 1.00 on verdicts a message":        func(c *Cost) { c.Letters["verdicts"] += c.Messages },
		"letters: 0.11 on channels a message":        func(c *Cost) { c.Letters["channels"] += 0.11 * c.Messages },
		"bytes: 1116 a letter":                       func(c *Cost) { c.Bytes *= 5 },
		"letters: 8320 on members, 4480 are allowed": func(c *Cost) { c.Letters["members"] *= 10; c.Bytes *= 10 },
	} {
		c := sound()
		plant(&c)
		require.True(t, slices.Contains(costly(sound(), c), want), "%s: %v", want, costly(sound(), c))
	}
}
