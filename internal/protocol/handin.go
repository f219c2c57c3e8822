package protocol

import (
	"bytes"
	"strconv"
	"strings"
)

// HandIn is a message as handed in by a client.
type HandIn struct {
	OrderKey        string // empty for none
	ID              string
	Class           string
	RemainingMillis int64 // time left for delivery
	Key             string
	Dst             int64
	Body            []byte
	Channel         string // empty for none
	Pos             int64  // position in the channel, from 1
}

const (
	maxID              = 64  // bytes in an id or a key
	maxRemainingMillis = 1e9 // about eleven days
)

// ParseHandIn parses the arguments of an ENQUEUE command.
func ParseHandIn(args [][]byte) (h HandIn, err error) {
	if len(args) != 5 {
		return h, malformed("ENQUEUE takes 4 arguments, not %d", max(0, len(args)-1))
	}
	h.ID, h.Body = string(args[2]), args[4]
	if key := args[1]; len(bytes.Trim(key, "0")) > 0 {
		h.OrderKey = string(key)
	}
	if !isPlain(h.ID) || h.ID == "" || len(h.OrderKey) > maxID {
		return h, malformed("the id is 1 to %d plain characters", maxID)
	}
	dst, pos := "", ""
	for _, field := range strings.Split(string(args[3]), ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "c":
			h.Class = value
		case "d":
			if h.RemainingMillis, err = strconv.ParseInt(value, 10, 64); err != nil {
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
	if h.RemainingMillis <= 0 || h.RemainingMillis > maxRemainingMillis {
		return h, malformed("no time is left")
	}
	if !isPlain(h.Key) {
		return h, malformed("the key is at most %d plain characters", maxID)
	}
	return h, h.parsePosition(pos)
}

// parsePosition parses the position in a channel. A message has both a channel and a position, or neither.
func (h *HandIn) parsePosition(pos string) (err error) {
	if h.Channel == "" && pos == "" {
		return nil
	}
	if h.Channel == "" || !isPlain(h.Channel) || strings.Contains(h.Channel, "=") {
		return malformed("ch is 1 to %d plain characters", maxID)
	}
	if h.Pos, err = strconv.ParseInt(pos, 10, 64); err != nil || h.Pos < 1 {
		return malformed("pos is no whole number from 1")
	}
	return nil
}

// isPlain reports whether a string may be used in a header field.
func isPlain(s string) bool {
	return len(s) <= maxID && strings.IndexFunc(s, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
}
