package protocol

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// URL paths of receivers and of the platform.
const (
	alivePath   = "/alive"
	loadPath    = "/metrics/load"
	noticesPath = "/v2/finals"
	listPath    = "/discovery/hosts"
)

var httpPrefix = []byte("HTTP/1.")

// WriteCall writes the request of a leg to a receiver.
func WriteCall(w *bufio.Writer, host, id, key string, waitMillis int64, body []byte) error {
	fmt.Fprintf(w, "POST /events HTTP/1.1\r\nHost: %s\r\nX-Txn: %s\r\n", host, id)
	if key != "" {
		fmt.Fprintf(w, "Idempotency-Key: %s\r\n", key)
	}
	fmt.Fprintf(w, "X-Remaining-Ms: %d\r\nContent-Length: %d\r\n\r\n", waitMillis, len(body))
	_, err := w.Write(body)
	return err
}

// WriteProbe writes a health check of a receiver.
func WriteProbe(w *bufio.Writer, host string, load bool) error {
	path := alivePath
	if load {
		path = loadPath
	}
	_, err := fmt.Fprintf(w, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, host)
	return err
}

// WriteWatch requests the changes after a revision from discovery.
func WriteWatch(w *bufio.Writer, host string, from int64) error {
	_, err := fmt.Fprintf(w, "GET %s?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\n\r\n", listPath, from, host)
	return err
}

// WriteNotices posts notices to the platform.
func WriteNotices(w *bufio.Writer, host string, lines []byte) error {
	fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		noticesPath, host, len(lines))
	_, err := w.Write(lines)
	return err
}

// AppendNotice appends the notice of a message that ended undelivered: rejected, or failed.
func AppendNotice(b []byte, id string, rejected bool, retryAfterMillis int64) []byte {
	b = append(b, `{"id":"`...)
	for i := range len(id) { // ids are plain text; an unescaped quote would make all lines of the post unreadable
		if id[i] == '"' || id[i] == '\\' {
			b = append(b, '\\')
		}
		b = append(b, id[i])
	}
	switch {
	case !rejected:
		return append(b, `","state":"failed"}`+"\n"...)
	case retryAfterMillis <= 0:
		return append(b, `","state":"returned"}`+"\n"...)
	}
	b = append(b, `","state":"returned","after_ms":`...)
	return append(strconv.AppendInt(b, retryAfterMillis, 10), "}\n"...)
}

const maxReported = 1e9 // in a report; anything above is invalid

// Response is the response to an HTTP request.
type Response struct {
	Status           int
	RetryAfterMicros int64  // 0 for none
	NoSlot           bool   // not sent, since all slots of this sender were in use
	Load             []byte // the load report in its header
	Body             []byte
	Close            bool
	chunked          bool
	length           int
}

// ReadResponse reads a response with its body. It calls decided, possibly more than once, as soon as the
// result is certain whatever follows: after a status line with 200, a Retry-After with 429, or any complete
// header. If the rest does not arrive, the Response holds what was read: a non-zero Status means that the
// status line arrived whole.
func ReadResponse(r *bufio.Reader, decided func()) (a Response, err error) {
	for range maxInterim {
		if a, err = readHead(r, decided); err != nil || a.Status >= 200 {
			break
		}
	}
	switch {
	case err != nil || a.Status == 204:
		return a, err
	case a.Status < 200:
		return a, malformed("more than %d answers in front of the last", maxInterim)
	}
	var body io.Reader = io.LimitReader(r, int64(a.length))
	if a.chunked {
		body = &chunkedReader{r: r}
	}
	text, err := io.ReadAll(io.LimitReader(body, MaxBody+1))
	switch {
	case err != nil:
		return a, unexpectedEOF(err)
	case len(text) > MaxBody:
		return a, malformed("a body is longer than %d bytes", MaxBody)
	case !a.chunked && len(text) < a.length:
		return a, io.ErrUnexpectedEOF
	}
	a.Body = text
	return a, nil
}

// ReadHead reads a response up to its body.
func ReadHead(r *bufio.Reader) (a Response, err error) { return readHead(r, func() {}) }

func readHead(r *bufio.Reader, decided func()) (a Response, err error) {
	line, err := readLine(r)
	if err != nil {
		return a, err
	}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != 3 || status < 100 || status > 599 || !bytes.HasPrefix(version, httpPrefix) {
		return a, malformed("no status line: %.40q", line)
	}
	if bytes.Contains(rest, httpPrefix) { // a truncated line of an earlier response would otherwise decide for the one that follows it
		return a, malformed("status line within a status line: %.40q", line)
	}
	a.Close = string(version) == "HTTP/1.0"
	a.Status = status
	if status == 200 {
		decided()
	}
	var fieldErr error // from a header field: it does not change the meaning of the status
	for range maxHeaderFields {
		line, err := readLine(r)
		if err != nil {
			return a, unexpectedEOF(err)
		}
		if len(line) == 0 {
			if status >= 200 {
				decided()
			}
			return a, fieldErr
		}
		name, value, found := strings.Cut(string(line), ":")
		if !found {
			return a, malformed("invalid header field: %.40q", line)
		}
		fieldErr = cmp.Or(fieldErr, a.parseField(strings.ToLower(name), strings.TrimSpace(value)))
		if status == 429 && a.RetryAfterMicros > 0 {
			decided()
		}
	}
	return a, malformed("more than %d header fields", maxHeaderFields)
}

func (a *Response) parseField(name, value string) error {
	switch name {
	case "retry-after":
		s, err := strconv.ParseFloat(value, 64)
		if err != nil || !(s >= 0 && s < 1e6) {
			return malformed("Retry-After is not a number of seconds: %.20q", value)
		}
		a.RetryAfterMicros = int64(s * 1e6)
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
			return malformed("unsupported transfer encoding %.20q", value)
		}
		a.chunked = true
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || n > MaxBody {
			return malformed("Content-Length is %.20q, not 0 to %d", value, MaxBody)
		}
		a.length = int(n)
	}
	return nil
}

// ParseLoad parses a load report: the share left and the limit in calls per second. A report with any invalid
// part is ignored as a whole.
func ParseLoad(text []byte) (shareLeft, limit float64, ok bool) {
	for _, field := range strings.Split(string(bytes.TrimSpace(text)), ",") {
		name, value, _ := strings.Cut(field, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v < maxReported) {
			return 0, 0, false
		}
		switch strings.TrimSpace(name) {
		case "x0":
			shareLeft, ok = v, true
		case "x1":
			limit, ok = v, true
		}
	}
	return shareLeft, limit, ok
}

// chunkedReader reads a body in chunked transfer encoding.
type chunkedReader struct {
	r    *bufio.Reader
	left int // bytes left in the chunk
	done bool
}

func (c *chunkedReader) Read(p []byte) (int, error) {
	if c.left == 0 && !c.done {
		if err := c.nextChunk(); err != nil {
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
	return n, unexpectedEOF(err)
}

func (c *chunkedReader) nextChunk() error {
	line, err := readLine(c.r)
	if err != nil {
		return unexpectedEOF(err)
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
	if err != nil {
		return malformed("invalid chunk size: %.20q", line)
	}
	if c.left = int(n); n > 0 {
		return nil
	}
	c.done = true
	for range maxHeaderFields {
		if line, err = readLine(c.r); err != nil || len(line) == 0 {
			return unexpectedEOF(err)
		}
	}
	return malformed("more than %d trailing fields", maxHeaderFields)
}

// IsMalformed distinguishes a protocol error of the peer from the end of a connection.
func IsMalformed(err error) bool { return errors.Is(err, ErrMalformed) }
