package fleettest

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	copiedMessages = 400                    // of a play
	copiedGap      = 8 * time.Millisecond   // between hand-ins
	copiedWithin   = 4 * time.Second        // the time of a message
	copiedDue      = 300 * time.Millisecond // after its time by which a message has its end (the operators' page)
)

// One answer too many or too few on a connection must not be taken for a call's: a lost message, or one that runs twice.
func TestAnswersThatAreNotTheCallsOwnLoseAndDoubleNothing(t *testing.T) {
	t.Parallel()
	seeds := []uint64{1}
	if n, err := strconv.Atoi(os.Getenv(soakSeedsVar)); err == nil { // so many, by hand
		seeds = nil
		for i := range n {
			seeds = append(seeds, uint64(100+i))
		}
	}
	for _, kind := range []CopyKind{CopyBehindCall, CopyFarAhead, CopyAtFirstByte, CopyAtRest, CopyTwice, CopyCut, CopyInside, CopyWithInterim,
		CopyThatCloses, CopyInPlace, CopyBeforeAnEnd} {
		for _, seed := range seeds {
			t.Run(fmt.Sprint(kind, "/", seed), func(t *testing.T) {
				t.Parallel()
				playCopies(t, kind, seed)
			})
		}
	}
}

func playCopies(t *testing.T, kind CopyKind, seed uint64) {
	r := New(t, Setup{Senders: 1, Destinations: []int64{7, 8, 9}, Seed: seed})
	for _, dst := range r.setup.Destinations {
		r.Conduct(dst, Conduct{Copies: kind})
	}
	r.Start()
	c := r.Client(0)
	each := time.NewTicker(copiedGap)
	defer each.Stop()
	for i := range copiedMessages {
		<-each.C
		c.HandIn(Message{ID: fmt.Sprint("m", i), Lane: []string{"notice", "once"}[i%2], Dst: int64(7 + i%3), Within: copiedWithin})
	}
	last := r.rec.now() + copiedWithin + copiedDue
	r.Until("all messages end, or their time is up", func(rec Record) bool { return len(rec.Owed()) == 0 || r.rec.now() > last })
	r.Judge()
	rec := r.Record()
	require.Greater(t, rec.Delivered(), copiedMessages/2, "most messages are delivered")
}
