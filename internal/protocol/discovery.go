package protocol

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/tidwall/gjson"
)

const (
	mostList  = 1 << 20 // bytes in one object of the list, some 4,000 receivers; six calls for it may be out, each holding thrice that
	watchLine = 4 << 10 // bytes read at once; a longer line comes in parts
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
	if !gjson.ValidBytes(text) {
		return l, malformed("a list that is no JSON: %.40q", text)
	}
	o := gjson.ParseBytes(text)
	if o.Get("revision").Type != gjson.Number || !o.Get("members").IsArray() {
		return l, malformed("a list without revision or members: %.40q", text)
	}
	l.Revision, l.Whole = o.Get("revision").Int(), o.Get("complete").Bool()
	for _, m := range o.Get("members").Array() {
		member := Member{ID: m.Get("id").String(), Addr: m.Get("host_port").String(), Zone: m.Get("locality").String(),
			Kind: m.Get("flavor").String(), Dst: m.Get("cell").Int(), Weight: m.Get("size").Float(),
			Serving: m.Get("phase").String() == "SERVING"}
		if member.ID == "" || m.Get("cell").Type != gjson.Number {
			return l, malformed("a member without id or cell: %.40q", m.Raw)
		}
		l.Members = append(l.Members, member)
	}
	return l, nil
}

// Watch reads the objects of a watch, one after the other. Each begins on a line of its own and may go over several.
type Watch struct {
	lines *lines
	json  *json.Decoder
}

// lines gives a JSON decoder a line at a time, so that it takes nothing of what follows an object.
type lines struct {
	r    *bufio.Reader
	next []byte // of the line read last, what is not handed on yet
	size int    // bytes of the object so far
}

// line reads the next one where none is left over.
func (l *lines) line() (err error) {
	if len(l.next) > 0 {
		return nil
	}
	if l.next, err = l.r.ReadSlice('\n'); errors.Is(err, bufio.ErrBufferFull) {
		err = nil // the rest of it comes with the next one
	}
	if l.size += len(l.next); l.size > mostList {
		return malformed("a list of more than %d bytes", mostList)
	}
	if len(l.next) > 0 {
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
	return &Watch{lines: l, json: json.NewDecoder(l)}, nil
}

// Next waits for the next object. An empty line between objects, which shows that the watch lives, gives an empty one; inside an
// object it shows nothing: a torn one would else never be found out.
func (w *Watch) Next() (l List, beat bool, err error) {
	w.lines.size = 0
	if rest, _ := io.ReadAll(w.json.Buffered()); blank(rest) { // no object has begun on the line of the last one
		if blank(w.lines.next) {
			w.lines.next = nil // the end of that line
		}
		if beat, err = w.lines.beat(); err != nil || beat {
			return l, beat, err
		}
	}
	var object json.RawMessage
	if err := w.json.Decode(&object); err != nil {
		return l, false, fmt.Errorf("watch: %w", err)
	}
	l, err = ParseList(object)
	return l, false, err
}

func blank(text []byte) bool { return len(bytes.TrimSpace(text)) == 0 }
