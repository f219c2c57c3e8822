package protocol

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Paths of receivers and of the platform.
const (
	alivePath   = "/alive"
	loadPath    = "/metrics/load"
	noticesPath = "/v2/finals"
	listPath    = "/discovery/hosts"
)

var httpMark = []byte("HTTP/1.")

// WriteCall writes a leg's call to a receiver. A closing request asks for the connection to be closed behind its answer.
func WriteCall(w *bufio.Writer, host, id, key string, waitMillis int64, body []byte, closing bool) error {
	fmt.Fprintf(w, "POST /events HTTP/1.1\r\nHost: %s\r\nX-Txn: %s\r\n", host, id)
	if key != "" {
		fmt.Fprintf(w, "Idempotency-Key: %s\r\n", key)
	}
	writeClosing(w, closing)
	fmt.Fprintf(w, "X-Remaining-Ms: %d\r\nContent-Length: %d\r\n\r\n", waitMillis, len(body))
	_, err := w.Write(body)
	return err
}

// WriteProbe asks a receiver how it is.
func WriteProbe(w *bufio.Writer, host string, load, closing bool) error {
	path := alivePath
	if load {
		path = loadPath
	}
	fmt.Fprintf(w, "GET %s HTTP/1.1\r\nHost: %s\r\n", path, host)
	writeClosing(w, closing)
	_, err := w.WriteString("\r\n")
	return err
}

// WriteWatch asks discovery for the changes after a revision.
func WriteWatch(w *bufio.Writer, host string, from int64) error {
	_, err := fmt.Fprintf(w, "GET %s?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\n\r\n", listPath, from, host)
	return err
}

// WriteNotices posts notices to the platform.
func WriteNotices(w *bufio.Writer, host string, lines []byte, closing bool) error {
	fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: %s\r\n", noticesPath, host)
	writeClosing(w, closing)
	fmt.Fprintf(w, "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(lines))
	_, err := w.Write(lines)
	return err
}

// writeClosing writes the field of a closing request.
func writeClosing(w *bufio.Writer, closing bool) {
	if closing {
		_, _ = w.WriteString("Connection: close\r\n")
	}
}

// AppendNotice appends the notice of a message's end: pushed back, or failed.
func AppendNotice(b []byte, id string, pushedBack bool, afterMillis int64) []byte {
	b = append(b, `{"id":"`...)
	for i := range len(id) { // plain text, as clients name messages; a quote would make all lines of the post unreadable
		if id[i] == '"' || id[i] == '\\' {
			b = append(b, '\\')
		}
		b = append(b, id[i])
	}
	switch {
	case !pushedBack:
		return append(b, `","state":"failed"}`+"\n"...)
	case afterMillis <= 0:
		return append(b, `","state":"returned"}`+"\n"...)
	}
	b = append(b, `","state":"returned","after_ms":`...)
	return append(strconv.AppendInt(b, afterMillis, 10), "}\n"...)
}

const mostTold = 1e9 // in a report; more is noise

// Answer is what came back for a call.
type Answer struct {
	Status     int
	WaitMicros int64  // told with it, 0 for none
	NoSlot     bool   // not sent, since all slots of this sender were taken
	Load       []byte // the report in its head
	Body       []byte
	Close      bool
	chunked    bool
	length     int
	unframed   bool // nothing tells the body's length, so the end of the connection ends it
}

// heard is called with an answer's head as far as it has come: after its first line, after each field, and at its end, which ended tells.
type heard func(a *Answer, ended bool)

// decides tells whether what has come of an answer decides on its call whatever follows: the first line with 200, a 429's wait, or any head.
func (a *Answer) decides(headEnded bool) bool {
	return a.Status == 200 || a.Status == 429 && a.WaitMicros > 0 || headEnded && a.Status > 200
}

// ReadAnswer reads an answer with its body. It calls told, maybe more than once, when what has come decides on the call whatever
// follows. What was read of the answer stands in it even when the rest does not come: a Status means that the first line came whole.
func ReadAnswer(r *bufio.Reader, told func()) (a Answer, err error) {
	return readAnswer(r, func(a *Answer, ended bool) {
		if a.decides(ended) {
			told()
		}
	})
}

func readAnswer(r *bufio.Reader, on heard) (a Answer, err error) {
	for range mostInterim {
		if a, err = readHead(r, on); err != nil || a.Status >= 200 {
			break
		}
	}
	switch {
	case err != nil || a.Status == 204:
		return a, err
	case a.Status < 200:
		return a, malformed("more than %d answers in front of the last", mostInterim)
	case a.unframed: // what follows needs no reading
		return a, nil
	}
	var body io.Reader = io.LimitReader(r, int64(a.length))
	if a.chunked {
		body = &chunks{r: r}
	}
	text, err := io.ReadAll(io.LimitReader(body, MostBody+1))
	switch {
	case err != nil:
		return a, unexpected(err)
	case len(text) > MostBody:
		return a, malformed("a body is longer than %d bytes", MostBody)
	case !a.chunked && len(text) < a.length:
		return a, io.ErrUnexpectedEOF
	}
	a.Body = text
	return a, nil
}

// EndsConnection tells whether nothing comes behind an answer on its connection, as it says or by its form.
func (a *Answer) EndsConnection() bool { return a.Close || a.unframed }

// ReadHead reads an answer up to its body.
func ReadHead(r *bufio.Reader) (a Answer, err error) { return readHead(r, func(*Answer, bool) {}) }

func readHead(r *bufio.Reader, on heard) (a Answer, err error) {
	line, err := readLine(r)
	if err != nil {
		return a, err
	}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != 3 || status < 100 || status > 599 || !bytes.HasPrefix(version, httpMark) {
		return a, malformed("no status line: %.40q", line)
	}
	if bytes.Contains(rest, httpMark) { // danger: half a line of an older answer would speak for the one that runs into it
		return a, malformed("two status lines in one: %.40q", line)
	}
	a.Close = string(version) == "HTTP/1.0"
	a.Status = status
	framed := status < 200 || status == 204
	on(&a, false)
	var spoilt error // of a field: it does not change what the status says
	for range mostFields {
		line, err := readLine(r)
		if err != nil {
			return a, unexpected(err)
		}
		if len(line) == 0 {
			a.unframed = !framed
			on(&a, true)
			return a, spoilt
		}
		name, value, found := strings.Cut(string(line), ":")
		if !found || hasStatusLine(line) { // danger: an older answer's head, cut, runs into the next one's, and its status speaks for both
			return a, malformed("no header field: %.40q", line)
		}
		name = strings.ToLower(name)
		framed = framed || name == "content-length" || name == "transfer-encoding"
		spoilt = cmp.Or(spoilt, a.field(name, strings.TrimSpace(value)))
		on(&a, false)
	}
	return a, malformed("more than %d header fields", mostFields)
}

// hasStatusLine tells whether a line holds the beginning of a status line: HTTP/1.x, a space and three digits.
func hasStatusLine(line []byte) bool {
	for {
		_, rest, found := bytes.Cut(line, httpMark)
		if !found {
			return false
		}
		if len(rest) >= 5 && rest[1] == ' ' && !slices.ContainsFunc(rest[2:5], func(c byte) bool { return c < '0' || c > '9' }) {
			return true
		}
		line = rest
	}
}

func (a *Answer) field(name, value string) error {
	switch name {
	case "retry-after":
		s, err := strconv.ParseFloat(value, 64)
		if err != nil || !(s >= 0 && s < 1e6) {
			return malformed("Retry-After is no number of seconds: %.20q", value)
		}
		a.WaitMicros = int64(s * 1e6)
	case "x-line-busy":
		a.NoSlot = value == "1"
	case "x-pressure":
		a.Load = []byte(value)
	case "connection":
		for option := range strings.SplitSeq(value, ",") {
			a.Close = a.Close || strings.EqualFold(strings.TrimSpace(option), "close")
		}
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return malformed("transfer encoding %.20q", value)
		}
		a.chunked = true
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || n > MostBody {
			return malformed("Content-Length is %.20q, not 0 to %d", value, MostBody)
		}
		a.length = int(n)
	}
	return nil
}

// ParseLoad reads a report of the limit: the share left and the calls a second. A report of which any part makes
// no sense tells nothing.
func ParseLoad(text []byte) (shareLeft, limit float64, told bool) {
	for _, field := range strings.Split(string(bytes.TrimSpace(text)), ",") {
		name, value, _ := strings.Cut(field, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v < mostTold) {
			return 0, 0, false
		}
		switch strings.TrimSpace(name) {
		case "x0":
			shareLeft, told = v, true
		case "x1":
			limit, told = v, true
		}
	}
	return shareLeft, limit, told
}

// chunks reads a chunked body.
type chunks struct {
	r    *bufio.Reader
	left int // of the chunk
	done bool
}

func (c *chunks) Read(p []byte) (int, error) {
	if c.left == 0 && !c.done {
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	if c.done {
		return 0, io.EOF
	}
	n, err := c.r.Read(p[:min(len(p), c.left)])
	if c.left -= n; c.left == 0 && n > 0 && err == nil {
		var end []byte
		if end, err = readLine(c.r); err == nil && len(end) > 0 {
			err = malformed("a chunk is longer than it says")
		}
	}
	return n, unexpected(err)
}

func (c *chunks) next() error {
	line, err := readLine(c.r)
	if err != nil {
		return unexpected(err)
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
	if err != nil {
		return malformed("no chunk size: %.20q", line)
	}
	if c.left = int(n); n > 0 {
		return nil
	}
	c.done = true
	for range mostFields {
		if line, err = readLine(c.r); err != nil || len(line) == 0 {
			return unexpected(err)
		}
	}
	return malformed("more than %d trailing fields", mostFields)
}

// IsMalformed tells a peer's nonsense from a connection's end.
func IsMalformed(err error) bool { return errors.Is(err, ErrMalformed) }
