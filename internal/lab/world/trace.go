package world

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"ravenlink/internal/lab/loop"
)

// event is one line of a trace; fields that do not apply are omitted.
type event struct {
	At         int64   `json:"at_us"` // since the start of the run
	Event      string  `json:"event"`
	Message    string  `json:"message,omitempty"`
	Sender     int     `json:"sender,omitempty"` // from 1
	Dst        int64   `json:"destination,omitempty"`
	Receiver   uint32  `json:"receiver,omitempty"`
	Number     int     `json:"leg,omitempty"`
	Outcome    string  `json:"outcome,omitempty"`
	RetryAfter int64   `json:"wait_us,omitempty"`
	Took       int64   `json:"took_us,omitempty"`
	Share      float64 `json:"share,omitempty"`
	Text       string  `json:"text,omitempty"`
}

// Trace writes the events of a run as JSON lines. Message or Dst limits it to one message, with all its hand-ins, or one
// destination. If To is set, From and To limit the time, in µs since the start.
type Trace struct {
	Message  string
	Dst      int64
	From, To int64
	out      *bufio.Writer
	encoder  *json.Encoder
	err      error
}

// NewTrace returns a trace that writes to out. The caller must close it.
func NewTrace(out io.Writer) *Trace {
	b := bufio.NewWriterSize(out, 1<<16)
	return &Trace{out: b, encoder: json.NewEncoder(b)}
}

// Close flushes the trace and returns the first error of any write.
func (t *Trace) Close() error {
	if err := t.out.Flush(); t.err == nil && err != nil {
		t.err = err
	}
	if t.err != nil {
		return fmt.Errorf("trace: %w", t.err)
	}
	return nil
}

func (t *Trace) matches(e event) bool {
	if t.To > 0 && (e.At < t.From || e.At > t.To) {
		return false
	}
	if t.Message != "" {
		wanted, _, _ := strings.Cut(t.Message, ".")
		number, _, _ := strings.Cut(e.Message, ".")
		return number == wanted
	}
	return t.Dst == 0 || e.Dst == t.Dst
}

func (w *World) emit(e event) {
	t := w.trace
	if t == nil || t.err != nil {
		return
	}
	e.At = w.Now() - loop.Origin
	if t.matches(e) {
		t.err = t.encoder.Encode(e)
	}
}
