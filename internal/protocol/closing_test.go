package protocol

import (
	"bufio"
	"errors"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// falls gives a text, and then an error.
type falls struct {
	text *strings.Reader
	err  error
}

func (f falls) Read(p []byte) (int, error) {
	if n, _ := f.text.Read(p); n > 0 {
		return n, nil
	}
	return 0, f.err
}

// Wherever a copy is cut, and whatever runs into it, no other answer's status is taken.
func TestNoCutOfACopyOrOfTheOwnAnswerGivesAnotherStatus(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRetry-After: 1\r\nVia: HTTP/1.1 proxy\r\n\r\nok"
		other = "HTTP/1.1 503 Busy\r\nVia: 1.1 x\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy"
	)
	read := func(text string) Answer {
		a, _, _ := ReadClosingAnswer(bufio.NewReader(falls{strings.NewReader(text), io.EOF}),
			Hearing{Told: func() {}, Whole: func() {}, Waited: func(int64) {}})
		return a
	}
	for cut := range head {
		assert.Contains(t, []int{0, 503}, read(head[:cut]+other).Status, "a copy cut at %d", cut)
		assert.Contains(t, []int{0, 503}, read(head+head[:cut]+other).Status, "a second copy cut at %d", cut)
	}
	for cut := range other {
		assert.Contains(t, []int{0, 503}, read(other[:cut]+head+other[cut:]).Status, "a copy at %d of the own one", cut)
		assert.Contains(t, []int{0, 503}, read(other[:cut]+head).Status, "cut at %d, and a copy in the place of the rest", cut)
	}
	assert.Equal(t, 503, read(head+other).Status)
	assert.Equal(t, 200, read(strings.Replace(head, "Via", "Connection: close\r\nVia", 1)).Status, "a field may name the protocol")
}

func TestOnlyAMarkedAnswerWithTheEndBehindItIsAClosingRequestsOwn(t *testing.T) {
	const (
		older    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		waits    = "HTTP/1.1 429 Too Many\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
		own      = "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy"
		unframed = "HTTP/1.1 503 Busy\r\nConnection: close\r\n\r\n"
		copied   = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	)
	silence := os.ErrDeadlineExceeded
	for name, c := range map[string]struct {
		text    string
		then    error
		status  int // 0 for none
		foreign int
		waited  int // µs
		notOwn  bool
	}{
		"the own one alone":                               {own, io.EOF, 503, 0, 0, false},
		"with a body up to the end":                       {copied, io.EOF, 200, 0, 0, false},
		"a copy in front":                                 {older + own, io.EOF, 503, 1, 0, false},
		"two copies in front":                             {older + older + own, io.EOF, 503, 2, 0, false},
		"a copy that says close in front":                 {copied + own, io.EOF, 503, 1, 0, false},
		"an interim answer and a copy":                    {"HTTP/1.1 102 Processing\r\n\r\n" + older + own, io.EOF, 503, 1, 0, false},
		"a copy of a told wait in front":                  {waits + own, io.EOF, 503, 1, 1_000_000, false},
		"a copy alone, then the end":                      {older, io.EOF, 0, 1, 0, true},
		"a copy alone, then silence":                      {older, silence, 0, 1, 0, true},
		"a copy that says close, then silence":            {copied, silence, 0, 1, 0, true},
		"a told wait alone, then silence":                 {waits, silence, 0, 1, 1_000_000, true},
		"half a copy runs into the own one":               {older[:25] + own, io.EOF, 0, 0, 0, false},
		"half a copy's body has the own one":              {older[:len(older)-1] + own, io.EOF, 0, 1, 0, true},
		"a copy stands in the own one's head":             {own[:25] + older + own[25:], io.EOF, 0, 0, 0, false},
		"a copy stands in the own one's body":             {own[:len(own)-2] + older + own[len(own)-2:], io.EOF, 0, 1, 0, true},
		"the own one's body is cut":                       {own[:len(own)-2], io.EOF, 503, 0, 0, false},
		"the own one's head is cut":                       {own[:30], io.EOF, 0, 0, 0, false},
		"a body that the end of the connection ends":      {unframed + "busy", io.EOF, 503, 0, 0, false},
		"the same behind a copy":                          {older + unframed + "busy", io.EOF, 503, 1, 0, false},
		"the same, not ended":                             {unframed + "busy", silence, 503, 0, 0, false},
		"such a body that has another answer":             {unframed + own, io.EOF, 0, 1, 0, true},
		"no length and no word of closing, up to the end": {"HTTP/1.1 200 OK\r\n\r\nok", io.EOF, 200, 0, 0, false},
		"nothing":                               {"", io.EOF, 0, 0, 0, false},
		"the first line of a delivery alone":    {"HTTP/1.1 200 OK\r\n", silence, 0, 0, 0, false},
		"a delivery says close and never ends":  {"HTTP/1.1 200 OK\r\nConnection: close\r\nX: ", silence, 200, 0, 0, false},
		"copies without end":                    {strings.Repeat(older, 100), io.EOF, 0, mostForeign, 0, true},
		"an answer of HTTP/1.0, which closes":   {"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", io.EOF, 200, 0, 0, false},
		"close among other options of the line": {"HTTP/1.1 204 No\r\nConnection: x, Close\r\n\r\n", io.EOF, 204, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			waited := 0
			a, foreign, err := ReadClosingAnswer(bufio.NewReader(falls{strings.NewReader(c.text), c.then}),
				Hearing{Told: func() {}, Whole: func() {}, Waited: func(micros int64) { waited += int(micros) }})
			assert.Equal(t, c.status, a.Status)
			assert.Equal(t, c.foreign, foreign)
			assert.Equal(t, c.waited, waited)
			assert.Equal(t, c.notOwn, errors.Is(err, ErrNotOwn), "%v", err)
			if c.status == 0 {
				require.Error(t, err)
			}
		})
	}
}
