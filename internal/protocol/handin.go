package protocol

import (
	"bytes"
	"strconv"
	"strings"
)

// HandIn is one message as a client hands it in.
type HandIn struct {
	OrderKey   string // empty for none
	ID         string
	Lane       string
	LeftMillis int64 // for which it may still be delivered
	Key        string
	Dst        int64
	Body       []byte
	Channel    string // empty for none
	Pos        int64  // in the channel, from 1
}

const (
	mostID  = 64  // bytes in an id or a key
	longest = 1e9 // milliseconds; about eleven days
)

// ParseHandIn reads the arguments of an ENQUEUE.
func ParseHandIn(args [][]byte) (h HandIn, err error) {
	if len(args) != 5 {
		return h, malformed("ENQUEUE takes 4 arguments, not %d", max(0, len(args)-1))
	}
	h.ID, h.Body = string(args[2]), args[4]
	if key := args[1]; len(bytes.Trim(key, "0")) > 0 {
		h.OrderKey = string(key)
	}
	if !plain(h.ID) || h.ID == "" || len(h.OrderKey) > mostID {
		return h, malformed("the id is 1 to %d plain characters", mostID)
	}
	dst, pos := "", ""
	for field := range strings.SplitSeq(string(args[3]), ",") { // there may be ten thousands, so none takes memory of its own
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "c":
			h.Lane = value
		case "d":
			if h.LeftMillis, err = strconv.ParseInt(value, 10, 64); err != nil {
				return h, malformed("d is no whole number")
			}
		case "k":
			h.Key = value
		case "dest":
			dst = value
		case "ch":
			h.Channel = value
		case "pos":
			pos = value
		}
	}
	if h.Dst, err = strconv.ParseInt(dst, 10, 64); err != nil {
		return h, malformed("dest is no whole number")
	}
	if h.LeftMillis <= 0 || h.LeftMillis > longest {
		return h, malformed("no time is left")
	}
	if !plain(h.Key) {
		return h, malformed("the key is at most %d plain characters", mostID)
	}
	return h, h.position(pos)
}

// position reads where a message stands in its channel: it has both or neither.
func (h *HandIn) position(pos string) (err error) {
	if h.Channel == "" && pos == "" {
		return nil
	}
	if h.Channel == "" || !plain(h.Channel) || strings.Contains(h.Channel, "=") {
		return malformed("ch is 1 to %d plain characters", mostID)
	}
	if h.Pos, err = strconv.ParseInt(pos, 10, 64); err != nil || h.Pos < 1 {
		return malformed("pos is no whole number from 1")
	}
	return nil
}

// plain tells whether a text may stand in a header field.
func plain(s string) bool {
	return len(s) <= mostID && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}
