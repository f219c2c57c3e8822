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
	modestText = 1 << 20 // bytes of text; a list of more is a large one
	modestCost = 3 << 20 // bytes of memory, likewise
	mostGap    = 1 << 20 // bytes of text that bring no member, and so of one member
	largeStep  = 5000    // members of a large list from one word that it goes on to the next
	grownStep  = 4 << 10 // bytes of text of a list from one word on its growth to the next
	memberCost = 256     // bytes: a Member is 88, stands twice while the list grows, and its strings have their borders
	watchLine  = 4 << 10 // bytes read at once; a longer line comes in parts
	mostNames  = 1000    // of zones and kinds that are kept once; further ones are kept with each member
)

// Member is one receiver as discovery lists it.
type Member struct {
	ID, Addr, Zone, Kind string
	Dst                  int64
	Weight               float64
	Serving              bool // neither draining nor gone
}

// List is a whole list of receivers, or the entries that changed.
type List struct {
	Revision int64
	Whole    bool
	Members  []Member
}

// ParseList reads one object of discovery's.
func ParseList(text []byte) (l List, err error) {
	in := json.NewDecoder(bytes.NewReader(text))
	r := listReader{json: in, most: math.MaxInt64, began: func() {}, grown: func(int64) {}, large: func() error { return nil }}
	l, err = r.read()
	if err == nil {
		if _, end := in.Token(); end != io.EOF {
			err = malformed("more behind a list")
		}
	}
	if err != nil && !IsMalformed(err) {
		err = malformed("a list that is no JSON: %v: %.40q", err, text)
	}
	return l, err
}

// listReader reads one list a member at a time: what it holds is what the members come to, not their text.
type listReader struct {
	json  *json.Decoder
	most  int64            // bytes of memory for the members of a large list
	began func()           // a member is to be read
	grown func(text int64) // the list has grown by a step
	large func() error     // the list is a large one, and goes on; an error ends the reading

	from    int64             // in the text, where the list begins
	cost    int64             // bytes, of the members so far
	raw     json.RawMessage   // of the value read last
	names   map[string]string // at most mostNames, gone with the reader
	beyond  bool              // the list is a large one
	next    int               // members at which it is said to go on
	step    int64             // bytes of text at which it is said to have grown
	members bool              // they have come
	revised bool
	whole   bool
}

func (r *listReader) read() (l List, err error) {
	r.from = r.json.InputOffset()
	if err := r.opens('{', "a list"); err != nil {
		return l, err
	}
	for r.json.More() {
		key, err := r.json.Token()
		if err != nil {
			return List{}, unexpected(err)
		}
		if key == "members" && !r.members {
			r.members = true
			err = r.readMembers(&l)
		} else {
			err = r.field(key, &l)
		}
		if err != nil {
			return List{}, err
		}
	}
	if _, err := r.json.Token(); err != nil {
		return List{}, unexpected(err)
	}
	if !r.revised || !r.members {
		return List{}, malformed("a list without revision or members")
	}
	return l, nil
}

// opens reads the border at which a value begins.
func (r *listReader) opens(border json.Delim, what string) error {
	t, err := r.json.Token()
	switch {
	case err != nil:
		return unexpected(err)
	case t != border:
		return malformed("%s does not begin with %v but with %.40q", what, border, fmt.Sprint(t))
	}
	return nil
}

// field reads what stands beside the members. Of two with one name the first counts.
func (r *listReader) field(key json.Token, l *List) error {
	if err := r.json.Decode(&r.raw); err != nil {
		return unexpected(err)
	}
	v := gjson.ParseBytes(r.raw)
	switch {
	case key == "revision" && !r.revised:
		if v.Type != gjson.Number {
			return malformed("a list whose revision is no number: %.40q", r.raw)
		}
		l.Revision, r.revised = v.Int(), true
	case key == "complete" && !r.whole:
		l.Whole, r.whole = v.Bool(), true
	}
	return nil
}

func (r *listReader) readMembers(l *List) error {
	if err := r.opens('[', "a list's members"); err != nil {
		return err
	}
	for r.json.More() {
		r.began()
		if err := r.json.Decode(&r.raw); err != nil {
			return unexpected(err)
		}
		m, err := r.member()
		if err != nil {
			return err
		}
		l.Members = append(l.Members, m)
		if text := r.json.InputOffset() - r.from; text >= max(r.step, grownStep) {
			r.step = text - text%grownStep + grownStep
			r.grown(text)
		}
		if err := r.charge(m, len(l.Members)); err != nil {
			return err
		}
	}
	_, err := r.json.Token()
	return unexpected(err)
}

func (r *listReader) member() (m Member, err error) {
	var seen [7]bool // of two fields with one name the first counts
	first := func(i int) bool {
		was := seen[i]
		seen[i] = true
		return !was
	}
	celled := false
	text := gjson.ParseBytes(r.raw)
	text.ForEach(func(key, v gjson.Result) bool {
		switch {
		case !text.IsObject():
		case key.Str == "id" && first(0):
			m.ID = strings.Clone(v.String())
		case key.Str == "host_port" && first(1):
			m.Addr = strings.Clone(v.String())
		case key.Str == "locality" && first(2):
			m.Zone = r.name(v.String())
		case key.Str == "flavor" && first(3):
			m.Kind = r.name(v.String())
		case key.Str == "cell" && first(4):
			m.Dst, celled = v.Int(), v.Type == gjson.Number
		case key.Str == "size" && first(5):
			m.Weight = v.Float()
		case key.Str == "phase" && first(6):
			m.Serving = v.String() == "SERVING"
		}
		return true
	})
	if m.ID == "" || !celled {
		return Member{}, malformed("a member without id or cell: %.40q", r.raw)
	}
	return m, nil
}

// name gives the one copy of a name that many members have. Danger: a part of a member's text would keep all of that.
func (r *listReader) name(text string) string {
	if n, known := r.names[text]; known {
		return n
	}
	if r.names == nil {
		r.names = map[string]string{}
	}
	n := strings.Clone(text)
	if len(r.names) < mostNames {
		r.names[n] = n
	}
	return n
}

// charge counts what a member takes. Danger: without a bound a list could take all memory, and without large several calls for one.
func (r *listReader) charge(m Member, so int) error {
	r.cost += memberCost + int64(len(m.ID)+len(m.Addr)+len(m.Zone)+len(m.Kind))
	r.beyond = r.beyond || r.json.InputOffset()-r.from > modestText || r.cost > modestCost
	switch {
	case !r.beyond:
		return nil
	case r.cost > r.most:
		return fmt.Errorf("%w: its first %d members take more than %d bytes", ErrTooLarge, so, r.most)
	case so < r.next:
		return nil
	}
	r.next = so + largeStep
	return r.large()
}

// ErrTooLarge is a list that takes more memory than a sender has for it.
var ErrTooLarge = errors.New("the list is too large for this sender's memory (give it more, or list fewer receivers)")

// Watch reads the objects of a watch, one after the other. Each begins on a line of its own and may go over several.
type Watch struct {
	lines *lines
	json  *json.Decoder
	most  int64
	grown func(text int64)
	large func() error
}

// lines gives a JSON decoder a line at a time, so that it takes nothing of what follows an object.
type lines struct {
	r    *bufio.Reader
	next []byte // of the line read last, what is not handed on yet
	open bool   // the end of the line read last has not come
	bad  error  // what has been found stays so: a decoder may ask again
	size int    // bytes since the object began, or its latest member
}

// line reads the next one where none is left over.
func (l *lines) line() (err error) {
	if l.bad != nil {
		return l.bad
	}
	if len(l.next) > 0 {
		return nil
	}
	if l.next, err = l.r.ReadSlice('\n'); errors.Is(err, bufio.ErrBufferFull) {
		err = nil // the rest of it comes with the next one
	}
	if l.size += len(l.next); l.size > mostGap {
		l.bad = malformed("more than %d bytes of a list without a member", mostGap)
		return l.bad
	}
	if len(l.next) > 0 {
		l.open = l.next[len(l.next)-1] != '\n'
		return nil
	}
	return err
}

// beat takes in a line that is blank up to its end. Danger: blanks without an end, however many, are no beat.
func (l *lines) beat() (whole bool, err error) {
	for {
		if err := l.line(); err != nil {
			return false, fmt.Errorf("watch: %w", err)
		}
		if !blank(l.next) {
			return false, nil
		}
		whole = l.next[len(l.next)-1] == '\n'
		if l.next = nil; whole {
			return true, nil
		}
	}
}

// Read is for the decoder.
func (l *lines) Read(p []byte) (int, error) {
	if err := l.line(); err != nil {
		return 0, err
	}
	n := copy(p, l.next)
	l.next = l.next[n:]
	return n, nil
}

// NewWatch reads the head of the answer that opens a watch.
func NewWatch(r *bufio.Reader) (*Watch, error) {
	a, err := ReadHead(r)
	if err != nil {
		return nil, err
	}
	if a.Status != 200 || !a.chunked {
		return nil, malformed("a watch answered with status %d", a.Status)
	}
	l := &lines{r: bufio.NewReaderSize(&chunks{r: r}, watchLine)}
	return &Watch{lines: l, json: json.NewDecoder(l), most: math.MaxInt64, grown: func(int64) {}, large: func() error { return nil }}, nil
}

// Limit has the members of a list take so many bytes of memory at most, if it is a large one: of more than 1 MiB of text, or 3 MiB of
// memory. It calls large once that is found, and at each further 5,000 members; an error of large ends the reading.
func (w *Watch) Limit(most int64, large func() error) { w.most, w.large = most, large }

// Grown has grown called with the bytes of text so far, at each 4 KiB of a list.
func (w *Watch) Grown(grown func(text int64)) { w.grown = grown }

// Next waits for the next object. An empty line between objects, which shows that the watch lives, gives an empty one; inside an
// object it shows nothing: a torn one would else never be found out.
func (w *Watch) Next() (l List, beat bool, err error) {
	w.lines.size = 0
	if rest, _ := io.ReadAll(w.json.Buffered()); blank(rest) { // no object has begun on the line of the last one
		if blank(w.lines.next) {
			w.lines.next = nil // the end of that line
		}
		for len(w.lines.next) == 0 && w.lines.open { // it comes by itself where the line did not fit in one piece, and is no beat
			if err := w.lines.line(); err != nil {
				return l, false, fmt.Errorf("watch: %w", err)
			}
			if blank(w.lines.next) {
				w.lines.next = nil
			}
		}
		if beat, err = w.lines.beat(); err != nil || beat {
			return l, beat, err
		}
	}
	r := listReader{json: w.json, most: w.most, began: func() { w.lines.size = 0 }, grown: w.grown, large: w.large}
	if l, err = r.read(); err != nil {
		return List{}, false, fmt.Errorf("watch: %w", err)
	}
	return l, false, nil
}

func blank(text []byte) bool { return len(bytes.TrimSpace(text)) == 0 }
