package protocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"syscall"
)

// ErrNotOwn says that answers came for a closing request of which none is known to be its own.
var ErrNotOwn = errors.New("no answer is known to be the request's own")

const mostForeign = 16 // answers in front of the own one; more are noise

// Hearing is what ReadClosingAnswer tells while it reads.
type Hearing struct {
	Told   func()             // what has come of the own answer decides on the call; its rest may be given up
	Whole  func()             // what seemed to be the own answer is whole, and only the end of the connection is waited for
	Waited func(micros int64) // an answer told a wait, be it the own one or not
}

// ReadClosingAnswer reads the answer to a closing request. HTTP/1.1 ties an answer to its request by its place alone, and a copy of an older
// answer may stand in front. But only the answer to a closing request says close, and only the end of the connection comes behind it.
// Answers without both are passed over, and counted as foreign. Where none is left the answer is empty; with ErrNotOwn if others came.
func ReadClosingAnswer(r *bufio.Reader, h Hearing) (own Answer, foreign int, err error) {
	for range mostForeign {
		a, err := readAnswer(r, h.listener())
		switch {
		case err != nil && a.EndsConnection():
			return a, foreign, err
		case err != nil:
			return Answer{}, foreign, notOwn(foreign, err)
		case a.unframed: // no older answer can be: it would have ended the connection
			if a.Body, err = readToEnd(r); errors.Is(err, errMixed) {
				return Answer{}, foreign + 1, notOwn(foreign+1, err)
			}
			return a, foreign, err
		case a.Close:
			h.Whole()
			if _, err = r.Peek(1); ended(err) {
				return a, foreign, nil
			}
		}
		foreign++
		if err != nil {
			return Answer{}, foreign, notOwn(foreign, err)
		}
	}
	return Answer{}, foreign, notOwn(foreign, malformed("more than %d answers for one request", mostForeign))
}

// listener hears one answer.
func (h Hearing) listener() heard {
	waited := false
	return func(a *Answer, headEnded bool) {
		if a.Status == 429 && a.WaitMicros > 0 && !waited {
			waited = true
			h.Waited(a.WaitMicros)
		}
		if a.EndsConnection() && a.decides(headEnded) {
			h.Told()
		}
	}
}

var errMixed = malformed("an answer stands in the body of another")

// readToEnd reads a body that the connection's end ends, as far as it comes.
func readToEnd(r *bufio.Reader) (text []byte, err error) {
	text, err = io.ReadAll(io.LimitReader(r, MostBody+1))
	switch {
	case hasStatusLine(text):
		return nil, errMixed
	case len(text) > MostBody:
		return nil, malformed("a body is longer than %d bytes", MostBody)
	case ended(err):
		return text, nil
	}
	return text, err
}

// ended tells whether the other side has ended or broken the connection. A reset is an end as well: who refuses a call before it has read its
// body leaves bytes unread.
func ended(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) }

func notOwn(foreign int, err error) error {
	if foreign == 0 {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNotOwn, err)
}
