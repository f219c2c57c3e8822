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
	assert.True(t, u.mayRest("a", at))
	u.doubt("a", at)
	assert.False(t, u.mayRest("a", at.Add(doubtFor-1)))
	assert.True(t, u.mayRest("b", at))
	assert.True(t, u.mayRest("a", at.Add(doubtFor)))
	for i := range 2 * doubtedMost {
		u.doubt(fmt.Sprint(i), at.Add(doubtFor))
	}
	assert.Len(t, u.doubted, doubtedMost, "the table has a bound, and what is over has left it")
	assert.False(t, u.mayRest("not in the table", at.Add(doubtFor)), "beyond the bound all are doubted")
	u.doubt("a", at.Add(3*doubtFor))
	assert.Len(t, u.doubted, 1)
	assert.True(t, u.mayRest("b", at.Add(3*doubtFor)))
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
	assert.Zero(t, p.Counts().Doubted)
}
