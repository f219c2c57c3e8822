package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDoubtedReceiversHaveOneExchangeAConnectionForAWhile(t *testing.T) {
	u, at := newUses(), time.Unix(1_000_000, 0)
	unknown := func(receiver string, times int, at time.Time) {
		for range times {
			u.unknown(receiver, at)
		}
	}
	unknown("a", unknownRow-1, at)
	u.known("a")
	unknown("a", unknownRow-1, at)
	assert.True(t, u.mayRest("a", at), "no row")
	unknown("a", 1, at)
	assert.False(t, u.mayRest("a", at.Add(doubtFor-1)))
	assert.True(t, u.mayRest("b", at))
	at = at.Add(doubtFor)
	assert.True(t, u.mayRest("a", at))
	unknown("a", 1, at)
	assert.False(t, u.mayRest("a", at), "the row goes on until an answer is known")
	for i := range 2 * suspectsMost {
		unknown(fmt.Sprint(i), 1, at)
	}
	assert.LessOrEqual(t, len(u.suspects), suspectsMost)
	assert.False(t, u.mayRest("a", at), "those that are doubted stay")
	assert.True(t, u.mayRest("b", at))
	for i := range 2 * suspectsMost {
		unknown(fmt.Sprint(i), unknownRow, at)
	}
	assert.Len(t, u.suspects, suspectsMost)
	assert.False(t, u.mayRest("not in the table", at), "beyond the bound all are doubted")
	at = at.Add(doubtFor)
	unknown("b", 1, at)
	assert.Len(t, u.suspects, 1)
	assert.True(t, u.mayRest("b", at))
}

// The process is stopped, or busy, while an answer and the connection's end behind it come, in pieces, and the time for them runs out.
func TestLastAnswerAndItsEndThatCameInTimeCount(t *testing.T) {
	f := farSide(t, func(c net.Conn, _ int64) {
		r := bufio.NewReader(c)
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, "one\n")
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, "t")
		_, _ = io.WriteString(c, "wo\n")
		_ = c.Close()
	})
	p := pool(t, long, 9)
	var got string
	require.Equal(t, Done, p.Do(context.Background(), "r", f.addr, long, say("one", &got)))
	x := say("two", &got)
	x.Read = func(r *bufio.Reader, in Reading) (bool, error) {
		time.Sleep(shortly) // both have come, and the time is up
		line, err := r.ReadString('\n')
		if err != nil {
			return false, err
		}
		got = line
		in.Whole()
		if _, err = r.Peek(1); !errors.Is(err, io.EOF) {
			return false, fmt.Errorf("%w: %w", ErrNotOwn, err)
		}
		return false, nil
	}
	assert.Equal(t, Done, p.Do(context.Background(), "r", f.addr, shortly, x))
	assert.Equal(t, "two\n", got)
	assert.Zero(t, p.Counts().Unknown)
}
