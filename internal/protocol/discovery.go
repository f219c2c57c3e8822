package protocol

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/tidwall/gjson"
)

const (
	largeListText   = 1 << 20 // bytes of text; a list of more is a large one
	largeListMemory = 3 << 20 // bytes of memory, likewise
	maxGap          = 1 << 20 // bytes of text without a complete member, and so the maximum of one member
	largeListStep   = 5000    // members of a large list between two calls of onLarge
	progressStep    = 4 << 10 // bytes of a list's text between two calls of onProgress
	memberOverhead  = 256     // bytes: a Member takes 88, exists twice while the slice grows, and its strings have allocation overhead
	watchBufferSize = 4 << 10 // bytes read at once; a longer line arrives in parts
	maxInterned     = 1000    // names of zones and kinds that are shared; further ones are stored with each member
)

// Member is a receiver in discovery's list.
type Member struct {
	ID, Addr, Zone, Kind string
	Dst                  int64
	Weight               float64
	Serving              bool // neither draining nor gone
}

// List is a complete list of receivers, or the entries that changed.
type List struct {
	Revision int64
	Complete bool
	Members  []Member
}

// ParseList parses one list object.
func ParseList(text []byte) (l List, err error) {
	in := json.NewDecoder(bytes.NewReader(text))
	r := listReader{json: in, memoryLimit: math.MaxInt64, onMember: func() {}, onProgress: func(int64) {}, onLarge: func() error { return nil }}
	l, err = r.read()
	if err == nil {
		if _, end := in.Token(); end != io.EOF {
			err = malformed("data after the end of a list")
		}
	}
	if err != nil && !IsMalformed(err) {
		err = malformed("a list that is not valid JSON: %v: %.40q", err, text)
	}
	return l, err
}

// listReader reads a list one member at a time, so that it holds the decoded members and not their text.
type listReader struct {
	json        *json.Decoder
	memoryLimit int64            // bytes of memory for the members of a large list
	onMember    func()           // called before a member is read
	onProgress  func(text int64) // called at each progressStep of text
	onLarge     func() error     // called at each largeListStep members of a large list; an error aborts the reading

	start        int64             // offset in the text at which the list begins
	memory       int64             // bytes used by the members so far
	raw          json.RawMessage   // the value read last
	interned     map[string]string // at most maxInterned; discarded with the reader
	isLarge      bool              // the list is a large one
	nextLarge    int               // number of members at the next call of onLarge
	nextProgress int64             // bytes of text at the next call of onProgress
	hasMembers   bool              // "members" has been read
	hasRevision  bool
	hasComplete  bool
}

func (r *listReader) read() (l List, err error) {
	r.start = r.json.InputOffset()
	if err := r.expectDelim('{', "a list"); err != nil {
		return l, err
	}
	for r.json.More() {
		key, err := r.json.Token()
		if err != nil {
			return List{}, unexpectedEOF(err)
		}
		if key == "members" && !r.hasMembers {
			r.hasMembers = true
			err = r.readMembers(&l)
		} else {
			err = r.readField(key, &l)
		}
		if err != nil {
			return List{}, err
		}
	}
	if _, err := r.json.Token(); err != nil {
		return List{}, unexpectedEOF(err)
	}
	if !r.hasRevision || !r.hasMembers {
		return List{}, malformed("a list without revision or members")
	}
	return l, nil
}

// expectDelim reads the opening delimiter of a value.
func (r *listReader) expectDelim(delim json.Delim, what string) error {
	t, err := r.json.Token()
	switch {
	case err != nil:
		return unexpectedEOF(err)
	case t != delim:
		return malformed("%s does not begin with %v but with %.40q", what, delim, fmt.Sprint(t))
	}
	return nil
}

// readField reads a field other than members. Of duplicate fields the first one counts.
func (r *listReader) readField(key json.Token, l *List) error {
	if err := r.json.Decode(&r.raw); err != nil {
		return unexpectedEOF(err)
	}
	v := gjson.ParseBytes(r.raw)
	switch {
	case key == "revision" && !r.hasRevision:
		if v.Type != gjson.Number {
			return malformed("a list whose revision is no number: %.40q", r.raw)
		}
		l.Revision, r.hasRevision = v.Int(), true
	case key == "complete" && !r.hasComplete:
		l.Complete, r.hasComplete = v.Bool(), true
	}
	return nil
}

func (r *listReader) readMembers(l *List) error {
	if err := r.expectDelim('[', "a list's members"); err != nil {
		return err
	}
	for r.json.More() {
		r.onMember()
		if err := r.json.Decode(&r.raw); err != nil {
			return unexpectedEOF(err)
		}
		m, err := r.parseMember()
		if err != nil {
			return err
		}
		l.Members = append(l.Members, m)
		if text := r.json.InputOffset() - r.start; text >= max(r.nextProgress, progressStep) {
			r.nextProgress = text - text%progressStep + progressStep
			r.onProgress(text)
		}
		if err := r.account(m, len(l.Members)); err != nil {
			return err
		}
	}
	_, err := r.json.Token()
	return unexpectedEOF(err)
}

func (r *listReader) parseMember() (m Member, err error) {
	var seen [7]bool // of duplicate fields the first one counts
	first := func(i int) bool {
		was := seen[i]
		seen[i] = true
		return !was
	}
	hasCell := false
	text := gjson.ParseBytes(r.raw)
	text.ForEach(func(key, v gjson.Result) bool {
		switch {
		case !text.IsObject():
		case key.Str == "id" && first(0):
			m.ID = strings.Clone(v.String())
		case key.Str == "host_port" && first(1):
			m.Addr = strings.Clone(v.String())
		case key.Str == "locality" && first(2):
			m.Zone = r.intern(v.String())
		case key.Str == "flavor" && first(3):
			m.Kind = r.intern(v.String())
		case key.Str == "cell" && first(4):
			m.Dst, hasCell = v.Int(), v.Type == gjson.Number
		case key.Str == "size" && first(5):
			m.Weight = v.Float()
		case key.Str == "phase" && first(6):
			m.Serving = v.String() == "SERVING"
		}
		return true
	})
	if m.ID == "" || !hasCell {
		return Member{}, malformed("a member without id or cell: %.40q", r.raw)
	}
	return m, nil
}

// intern returns the shared copy of a name that many members have. A substring of a member's text would keep
// the whole text in memory.
func (r *listReader) intern(text string) string {
	if n, known := r.interned[text]; known {
		return n
	}
	if r.interned == nil {
		r.interned = map[string]string{}
	}
	n := strings.Clone(text)
	if len(r.interned) < maxInterned {
		r.interned[n] = n
	}
	return n
}

// account adds the memory that a member takes. Without a limit a list could take all memory, and without
// onLarge several calls could do so together.
func (r *listReader) account(m Member, count int) error {
	r.memory += memberOverhead + int64(len(m.ID)+len(m.Addr)+len(m.Zone)+len(m.Kind))
	r.isLarge = r.isLarge || r.json.InputOffset()-r.start > largeListText || r.memory > largeListMemory
	switch {
	case !r.isLarge:
		return nil
	case r.memory > r.memoryLimit:
		return fmt.Errorf("%w: its first %d members take more than %d bytes", ErrTooLarge, count, r.memoryLimit)
	case count < r.nextLarge:
		return nil
	}
	r.nextLarge = count + largeListStep
	return r.onLarge()
}

// ErrTooLarge reports a list that needs more memory than the sender has for it.
var ErrTooLarge = errors.New("the list is too large for this sender's memory (give it more, or list fewer receivers)")

// Watch reads the objects of a watch one after the other. Each begins on a new line and may span several
// lines.
type Watch struct {
	lines       *lineReader
	json        *json.Decoder
	memoryLimit int64
	onProgress  func(text int64)
	onLarge     func() error
}

// lineReader passes a JSON decoder one line at a time, so that it consumes nothing beyond an object.
type lineReader struct {
	r           *bufio.Reader
	pending     []byte // rest of the latest line, not passed on yet
	inLine      bool   // the end of the latest line has not been read
	err         error  // sticky, since a decoder may read again
	sinceMember int    // bytes since the object began, or since its latest member
}

// fill reads the next line if nothing is pending.
func (l *lineReader) fill() (err error) {
	if l.err != nil {
		return l.err
	}
	if len(l.pending) > 0 {
		return nil
	}
	if l.pending, err = l.r.ReadSlice('\n'); errors.Is(err, bufio.ErrBufferFull) {
		err = nil // the rest of the line is read by the next call
	}
	if l.sinceMember += len(l.pending); l.sinceMember > maxGap {
		l.err = malformed("more than %d bytes of a list without a member", maxGap)
		return l.err
	}
	if len(l.pending) > 0 {
		l.inLine = l.pending[len(l.pending)-1] != '\n'
		return nil
	}
	return err
}

// readHeartbeat consumes a blank line and reports whether there was one. Blanks without a line end, however
// many, are no heartbeat.
func (l *lineReader) readHeartbeat() (whole bool, err error) {
	for {
		if err := l.fill(); err != nil {
			return false, fmt.Errorf("watch: %w", err)
		}
		if !isBlank(l.pending) {
			return false, nil
		}
		whole = l.pending[len(l.pending)-1] == '\n'
		if l.pending = nil; whole {
			return true, nil
		}
	}
}

// Read implements io.Reader for the decoder.
func (l *lineReader) Read(p []byte) (int, error) {
	if err := l.fill(); err != nil {
		return 0, err
	}
	n := copy(p, l.pending)
	l.pending = l.pending[n:]
	return n, nil
}

// NewWatch reads the header of the response that opens a watch.
func NewWatch(r *bufio.Reader) (*Watch, error) {
	a, err := ReadHead(r)
	if err != nil {
		return nil, err
	}
	if a.Status != 200 || !a.chunked {
		return nil, malformed("a watch answered with status %d", a.Status)
	}
	l := &lineReader{r: bufio.NewReaderSize(&chunkedReader{r: r}, watchBufferSize)}
	return &Watch{lines: l, json: json.NewDecoder(l), memoryLimit: math.MaxInt64, onProgress: func(int64) {}, onLarge: func() error { return nil }}, nil
}

// SetMemoryLimit limits the memory for the members of a large list, one of more than 1 MiB of text or 3 MiB of
// memory. onLarge is called when a list is found to be large and at each further 5,000 members; its error
// aborts the reading.
func (w *Watch) SetMemoryLimit(bytes int64, onLarge func() error) {
	w.memoryLimit, w.onLarge = bytes, onLarge
}

// OnProgress sets a function that is called with the bytes of text read so far, at each 4 KiB of a list.
func (w *Watch) OnProgress(onProgress func(text int64)) { w.onProgress = onProgress }

// Next waits for the next object. An empty line between objects is a heartbeat, which shows that the watch is
// alive. Inside an object it is not: otherwise a truncated object would never be detected.
func (w *Watch) Next() (l List, heartbeat bool, err error) {
	w.lines.sinceMember = 0
	if rest, _ := io.ReadAll(w.json.Buffered()); isBlank(rest) { // no object has begun on the line of the previous one
		if isBlank(w.lines.pending) {
			w.lines.pending = nil // the end of that line
		}
		for len(w.lines.pending) == 0 && w.lines.inLine { // the line end may arrive separately if the line did not fit into the buffer; it is no heartbeat
			if err := w.lines.fill(); err != nil {
				return l, false, fmt.Errorf("watch: %w", err)
			}
			if isBlank(w.lines.pending) {
				w.lines.pending = nil
			}
		}
		if heartbeat, err = w.lines.readHeartbeat(); err != nil || heartbeat {
			return l, heartbeat, err
		}
	}
	r := listReader{json: w.json, memoryLimit: w.memoryLimit, onMember: func() { w.lines.sinceMember = 0 }, onProgress: w.onProgress, onLarge: w.onLarge}
	if l, err = r.read(); err != nil {
		return List{}, false, fmt.Errorf("watch: %w", err)
	}
	return l, false, nil
}

func isBlank(text []byte) bool { return len(bytes.TrimSpace(text)) == 0 }
