// Package protocol reads and writes what goes over the sender's connections, on bufio and without sockets.
// The names on the wire end here.
package protocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Bounds of what is read.
const (
	MostBody    = 64 << 10 // bytes in a body
	mostArgs    = 16       // bulk strings in a command
	mostLine    = 4 << 10  // bytes in a line
	mostFields  = 64       // header fields in an answer
	mostInterim = 8        // answers of the kind 1xx before the one that counts

	shortCommand = 4 << 10  // bytes in a command's bulk strings that it may hold without being granted them
	grantStep    = 16 << 10 // bytes that are asked for at once at least
)

const endOfLine = "\r\n"

// ErrMalformed marks what breaks a protocol; the text says what was wrong.
var ErrMalformed = errors.New("malformed")

func malformed(format string, a ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, a...)...)
}

// readLine reads to the line's end and takes off CR and LF. What it returns lasts until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	var long []byte
	for errors.Is(err, bufio.ErrBufferFull) {
		if long = append(long, line...); len(long) > mostLine {
			return nil, malformed("a line is longer than %d bytes", mostLine)
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

// ReadCommand reads one array of bulk strings. What it holds beyond 4 KiB it asks grant for before it allocates it, and ends with grant's error;
// nil grants all.
func ReadCommand(r *bufio.Reader, grant func(bytes int) error) ([][]byte, error) {
	n, err := readCount(r, '*', mostArgs)
	if err != nil {
		return nil, err
	}
	args := make([][]byte, n)
	room := MostBody + mostLine // for all of them
	granted := shortCommand
	for i := range args {
		size, err := readCount(r, '$', min(room, MostBody))
		if err != nil {
			return nil, unexpected(err)
		}
		room -= size
		if granted -= size; granted < 0 && grant != nil {
			step := max(-granted, grantStep)
			if err := grant(step); err != nil {
				return nil, err
			}
			granted += step
		}
		bulk := make([]byte, size+len(endOfLine))
		if _, err := io.ReadFull(r, bulk); err != nil {
			return nil, unexpected(err)
		}
		if string(bulk[size:]) != endOfLine {
			return nil, malformed("bulk string %d is not followed by CR LF", i)
		}
		args[i] = bulk[:size:size]
	}
	return args, nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readCount(r *bufio.Reader, mark byte, most int) (int, error) {
	line, err := readLine(r)
	if err != nil {
		return 0, err
	}
	if len(line) < 2 || line[0] != mark {
		return 0, malformed("expected %q and a number", mark)
	}
	n, err := strconv.ParseUint(string(line[1:]), 10, 31)
	if err != nil || int(n) > most {
		return 0, malformed("%q and a number from 0 to %d, not %.20q", mark, most, line[1:])
	}
	return int(n), nil
}

// WriteOK says that a message is taken on.
func WriteOK(w *bufio.Writer) error { return write(w, "+OK\r\n") }

// WritePong answers a PING.
func WritePong(w *bufio.Writer) error { return write(w, "+PONG\r\n") }

// WriteBusy pushes a message back; afterMillis 0 gives no advice.
func WriteBusy(w *bufio.Writer, afterMillis int64) error {
	if afterMillis <= 0 {
		return write(w, "-BUSY\r\n")
	}
	return write(w, "-BUSY "+strconv.FormatInt(afterMillis, 10)+"\r\n")
}

// The answers to hand-ins of a channel tell the position last taken on, where it is known here: 0 or more.

// WriteOKAt says that a message is taken on, or was before.
func WriteOKAt(w *bufio.Writer, pos int64) error { return write(w, "+OK"+at(pos)+"\r\n") }

// WriteBusyAt pushes a message back.
func WriteBusyAt(w *bufio.Writer, afterMillis, pos int64) error {
	return write(w, "-BUSY "+strconv.FormatInt(max(1, afterMillis), 10)+at(pos)+"\r\n")
}

// WriteErrorAt fails a hand-in.
func WriteErrorAt(w *bufio.Writer, what string, pos int64) error {
	return write(w, "-ERR "+oneLine.Replace(what)+at(pos)+"\r\n")
}

func at(pos int64) string {
	if pos < 0 {
		return ""
	}
	return " pos=" + strconv.FormatInt(pos, 10)
}

// WriteError fails a command.
func WriteError(w *bufio.Writer, what string) error {
	return write(w, "-ERR "+oneLine.Replace(what)+"\r\n")
}

// oneLine keeps an answer in its one line: joined errors have several, and a client would read the next ones as answers to
// what it says later.
var oneLine = strings.NewReplacer("\r\n", "; ", "\n", "; ", "\r", "; ")

func write(w *bufio.Writer, s string) error {
	if _, err := w.WriteString(s); err != nil {
		return fmt.Errorf("write an answer: %w", err)
	}
	return nil
}
