package world

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"ravenlink/internal/lab/loop"
)

// event is one line of a trace.
type event struct {
	At       int64   `json:"at_us"` // since the start of the run
	Event    string  `json:"event"`
	Message  string  `json:"message,omitempty"`
	Sender   int     `json:"sender,omitempty"` // from 1
	Dst      int64   `json:"destination,omitempty"`
	Receiver uint32  `json:"receiver,omitempty"`
	Number   int     `json:"leg,omitempty"`
	Outcome  string  `json:"outcome,omitempty"`
	Wait     int64   `json:"wait_us,omitempty"`
	Took     int64   `json:"took_us,omitempty"`
	Share    float64 `json:"share,omitempty"`
	Text     string  `json:"text,omitempty"`
}

// Trace writes what happens, a JSON object a line. With Message or Dst set it writes only what concerns that message,
// over all its hand-ins, or that destination; From and To bound the time, in µs since the start, where To is set.
type Trace struct {
	Message  string
	Dst      int64
	From, To int64
	out      *bufio.Writer
	lines    *json.Encoder
	err      error
}

// NewTrace writes to out.
func NewTrace(out io.Writer) *Trace {
	b := bufio.NewWriterSize(out, 1<<16)
	return &Trace{out: b, lines: json.NewEncoder(b)}
}

// Close writes out the rest.
func (t *Trace) Close() error {
	if err := t.out.Flush(); t.err == nil && err != nil {
		t.err = err
	}
	if t.err != nil {
		return fmt.Errorf("trace: %w", t.err)
	}
	return nil
}

func (t *Trace) wants(e event) bool {
	if t.To > 0 && (e.At < t.From || e.At > t.To) {
		return false
	}
	if t.Message != "" {
		number, _, _ := strings.Cut(t.Message, ".")
		own, _, _ := strings.Cut(e.Message, ".")
		return own == number
	}
	return t.Dst == 0 || e.Dst == t.Dst
}

func (w *World) say(e event) {
	t := w.trace
	if t == nil || t.err != nil {
		return
	}
	e.At = w.Now() - loop.Origin
	if t.wants(e) {
		t.err = t.lines.Encode(e)
	}
}
