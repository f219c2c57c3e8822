// Package protocol encodes and decodes the wire formats on the sender's connections. It uses bufio only, no
// sockets. Names on the wire do not appear outside this package.
package protocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits for input.
const (
	MaxBody         = 64 << 10 // bytes in a body
	maxArgs         = 16       // bulk strings in a command
	maxLine         = 4 << 10  // bytes in a line
	maxHeaderFields = 64       // header fields in a response
	maxInterim      = 8        // 1xx responses before the final one
)

// ErrMalformed is wrapped by every protocol error; the message names the fault.
var ErrMalformed = errors.New("malformed")

func malformed(format string, a ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, a...)...)
}

// readLine reads a line and strips CR and LF. The result is valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	var long []byte
	for errors.Is(err, bufio.ErrBufferFull) {
		if long = append(long, line...); len(long) > maxLine {
			return nil, malformed("a line is longer than %d bytes", maxLine)
		}
		line, err = r.ReadSlice('\n')
	}
	if err != nil {
		if errors.Is(err, io.EOF) && len(line)+len(long) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if long != nil {
		line = append(long, line...)
	}
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line, nil
}

// ReadCommand reads an array of bulk strings.
func ReadCommand(r *bufio.Reader) ([][]byte, error) {
	n, err := readCount(r, '*', maxArgs)
	if err != nil {
		return nil, err
	}
	args := make([][]byte, n)
	room := MaxBody + maxLine // for all arguments together
	for i := range args {
		size, err := readCount(r, '$', min(room, MaxBody))
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		room -= size
		bulk, err := readBytes(r, size+2)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if string(bulk[size:]) != "\r\n" {
			return nil, malformed("bulk string %d is not followed by CR LF", i)
		}
		args[i] = bulk[:size:size]
	}
	return args, nil
}

// readBytes reads n bytes. Memory is allocated as data arrives, not for the announced length.
func readBytes(r *bufio.Reader, n int) ([]byte, error) {
	var b []byte
	for len(b) < n {
		more := min(n-len(b), max(maxLine, len(b)))
		b = append(make([]byte, 0, len(b)+more), b...)[:len(b)+more]
		if _, err := io.ReadFull(r, b[len(b)-more:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readCount(r *bufio.Reader, mark byte, limit int) (int, error) {
	line, err := readLine(r)
	if err != nil {
		return 0, err
	}
	if len(line) < 2 || line[0] != mark {
		return 0, malformed("expected %q and a number", mark)
	}
	n, err := strconv.ParseUint(string(line[1:]), 10, 31)
	if err != nil || int(n) > limit {
		return 0, malformed("%q and a number from 0 to %d, not %.20q", mark, limit, line[1:])
	}
	return int(n), nil
}

// WriteOK replies that a message is accepted.
func WriteOK(w *bufio.Writer) error { return writeReply(w, "+OK\r\n") }

// WritePong replies to a PING.
func WritePong(w *bufio.Writer) error { return writeReply(w, "+PONG\r\n") }

// WriteBusy replies that a message is rejected; with afterMillis 0 there is no retry-after.
func WriteBusy(w *bufio.Writer, afterMillis int64) error {
	if afterMillis <= 0 {
		return writeReply(w, "-BUSY\r\n")
	}
	return writeReply(w, "-BUSY "+strconv.FormatInt(afterMillis, 10)+"\r\n")
}

// Replies to hand-ins of a channel carry the last accepted position if it is known here, that is if it is 0 or
// more.

// WriteChannelOK replies that a message is accepted, now or before.
func WriteChannelOK(w *bufio.Writer, pos int64) error {
	return writeReply(w, "+OK"+posSuffix(pos)+"\r\n")
}

// WriteChannelBusy replies that a message is rejected.
func WriteChannelBusy(w *bufio.Writer, afterMillis, pos int64) error {
	return writeReply(w, "-BUSY "+strconv.FormatInt(max(1, afterMillis), 10)+posSuffix(pos)+"\r\n")
}

// WriteChannelError replies with an error to a hand-in of a channel.
func WriteChannelError(w *bufio.Writer, what string, pos int64) error {
	return writeReply(w, "-ERR "+joinLines.Replace(what)+posSuffix(pos)+"\r\n")
}

func posSuffix(pos int64) string {
	if pos < 0 {
		return ""
	}
	return " pos=" + strconv.FormatInt(pos, 10)
}

// WriteError replies to a command with an error.
func WriteError(w *bufio.Writer, what string) error {
	return writeReply(w, "-ERR "+joinLines.Replace(what)+"\r\n")
}

// joinLines keeps a reply on one line: joined errors span several, and a client would take the others for
// replies to its next commands.
var joinLines = strings.NewReplacer("\r\n", "; ", "\n", "; ", "\r", "; ")

func writeReply(w *bufio.Writer, s string) error {
	if _, err := w.WriteString(s); err != nil {
		return fmt.Errorf("write an answer: %w", err)
	}
	return nil
}
