package links

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// doubling stands between two senders: each third post on a connection is lost, and the answer before it comes once more in place of its own.
func doubling(t *testing.T, to string) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go double(c, to)
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String()
}

func double(c net.Conn, to string) {
	defer func() { _ = c.Close() }()
	out := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r := bufio.NewReader(c)
	var before []byte
	for number := 1; ; number++ {
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(in.Body)
		if err != nil {
			return
		}
		if number%3 == 0 {
			_, _ = c.Write(before)
			continue
		}
		res, err := out.Post("http://"+to, "", bytes.NewReader(body))
		if err != nil {
			return
		}
		var text bytes.Buffer
		res.Close = false
		_ = res.Write(&text)
		_ = res.Body.Close()
		before = text.Bytes()
		_, _ = c.Write(before)
	}
}

func TestACopiedAnswerIsNoProofThatAPostArrived(t *testing.T) {
	t.Parallel()
	b := open(t, zap.NewNop(), "b", "127.0.0.1:0", Peer{"a", "127.0.0.1:1"})
	b.run(t)
	a := open(t, zap.NewNop(), "a", "127.0.0.1:0", Peer{"b", doubling(t, b.Addr())})
	a.run(t)
	for _, body := range []string{"1", "2", "3", "4"} {
		a.Send("b", note("d"+body, body))
		require.Eventually(t, b.has("d"+body, body), long, glimpse)
	}
	require.NotZero(t, a.Counts().Refused[Doubled])
}
