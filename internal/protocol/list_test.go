package protocol

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
)

// parseWhole parses a list as one text, as ParseList did before it read one member at a time.
func parseWhole(text []byte) (l List, err error) {
	if !gjson.ValidBytes(text) {
		return l, malformed("no JSON")
	}
	o := gjson.ParseBytes(text)
	if o.Get("revision").Type != gjson.Number || !o.Get("members").IsArray() {
		return l, malformed("no revision or members")
	}
	l.Revision, l.Complete = o.Get("revision").Int(), o.Get("complete").Bool()
	for _, m := range o.Get("members").Array() {
		if m.Get("id").String() == "" || m.Get("cell").Type != gjson.Number {
			return l, malformed("no id or cell")
		}
		l.Members = append(l.Members, Member{ID: m.Get("id").String(), Addr: m.Get("host_port").String(), Zone: m.Get("locality").String(),
			Kind: m.Get("flavor").String(), Dst: m.Get("cell").Int(), Weight: m.Get("size").Float(), Serving: m.Get("phase").String() == "SERVING"})
	}
	return l, nil
}

var validLists = []string{
	`{"revision":1,"complete":true,"members":[{"id":"s","cell":3}]}`,
	`{"members":[{"id":"s","cell":3,"size":"2.5","locality":7}],"x":{"members":[1]},"revision":4e2}`,
	`{"members":[],"members":[{"id":"s","cell":3}],"revision":1,"revision":"2","complete":true,"complete":false}`,
	" {\n\"revision\" : 1 ,\n\n\"members\" : [\n]\n} ",
	`{"revision":1,"members":[{"id":"a","id":"b","cell":1,"cell":2,"size":1,"size":2,"phase":"x","phase":"SERVING","x":{"cell":7}}]}`,
	`{"revision":1,"members":[{"id":"\u00e9\"","cell":-3,"phase":"SERVING"},{"cell":9,"id":8}]}`,
}

var invalidLists = map[string]string{
	`{`:                                     "unexpected EOF",
	`[]`:                                    "does not begin with { but with \"[\"",
	`{}`:                                    "without revision or members",
	`{"revision":1}`:                        "without revision or members",
	`{"members":[]}`:                        "without revision or members",
	`{"revision":"1","members":[]}`:         "revision is no number: \"\\\"1\\\"\"",
	`{"revision":1,"members":{}}`:           "members does not begin with [",
	`{"revision":1,"members":null}`:         "members does not begin with [",
	`{"revision":1,"members":[{"id":"x"}]}`: "without id or cell: \"{\\\"id\\\":\\\"x\\\"}\"",
	`{"revision":1,"members":[7]}`:          "without id or cell: \"7\"",
	`{"revision":1,"members":[{"id":"x","cell":1},]}`:                 "invalid character ']'",
	`{"revision":1,"members":[{"id":"x","cell":1} {}]}`:               "after array element",
	`{"revision":1,"members":[{"id":"x","cell":1}}`:                   "invalid character '}'",
	`{"revision":1,"members":[],}`:                                    "invalid character '}'",
	`{"revision":1,"members":[{"id":"x","cell":1}` + "\n\n\n":         "unexpected EOF",
	`{"revision" 1,"members":[]}`:                                     "after object key",
	`{"revision":1,"members":[{"id":"x","cell":1,"y":nonsense}]}`:     "invalid character 'o'",
	`{"revision":1,"members":[{"id":"x","cell":1}],"complete":truth}`: "invalid character",
}

func newTestWatch(t testing.TB, text string) *Watch {
	w, err := NewWatch(reader(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)))
	require.NoError(t, err)
	return w
}

// The result is the same for a list read one member at a time or at once, from a watch or from the start file,
// and so is the verdict on invalid ones.
func TestListReaderMatchesWholeParse(t *testing.T) {
	for _, text := range validLists {
		want, err := parseWhole([]byte(text))
		require.NoError(t, err, text)
		known, err := ParseList([]byte(text))
		require.NoError(t, err, text)
		assert.Equal(t, want, known, text)
		w := newTestWatch(t, text+"\n\n")
		watched, heartbeat, err := w.Next()
		require.NoError(t, err, text)
		assert.False(t, heartbeat)
		assert.Equal(t, want, watched, text)
		_, heartbeat, err = w.Next()
		assert.NoError(t, err)
		assert.True(t, heartbeat, "the end of its line is no beat, the next line is: %q", text)
	}
	for text, what := range invalidLists {
		_, err := parseWhole([]byte(text))
		assert.Error(t, err, text)
		l, err := ParseList([]byte(text))
		assert.True(t, IsMalformed(err), text)
		assert.ErrorContains(t, err, what, text)
		assert.Zero(t, l, text)
		l, _, err = newTestWatch(t, text).Next()
		assert.ErrorContains(t, err, what, text)
		assert.Zero(t, l, "what has come of it counts for nothing: %s", text)
	}
	_, err := ParseList([]byte(validLists[0] + "{}"))
	assert.True(t, IsMalformed(err), "one object and nothing behind it")
}

func FuzzListAgainstWholeParse(f *testing.F) {
	for _, text := range validLists {
		f.Add([]byte(text))
	}
	for text := range invalidLists {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		if !json.Valid(in) {
			_, err := ParseList(in)
			assert.Error(t, err)
			return
		}
		want, bad := parseWhole(in)
		l, err := ParseList(in)
		if assert.Equal(t, bad != nil, err != nil, "%v, %v", bad, err); err == nil {
			assert.Equal(t, want, l)
		}
	})
}

func BenchmarkList7600(b *testing.B) {
	text := []byte(largeList(7600, ""))
	for _, how := range []struct {
		name string
		read func([]byte) (List, error)
	}{{"at once", parseWhole}, {"a member at a time", ParseList}} {
		b.Run(how.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := how.read(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func largeList(n int, separator string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"revision":8,"complete":true,"members":[%s`, separator)
	for i := range n {
		if i > 0 {
			b.WriteString("," + separator)
		}
		fmt.Fprintf(&b, `{"id":"s-%06d","host_port":"10.1.%d.%d:8080","locality":"z","flavor":"m","cell":%d,"phase":"SERVING","size":1}`,
			i, i/250, i%250, i)
	}
	return b.String() + "]}\n"
}

// Lists of more than 1 MiB are read completely, as is what follows them; the watch reports when one is large,
// and its progress.
func TestListsBeyondOneMiBAreRead(t *testing.T) {
	for n, want := range map[int]int{7_000: 0, 10_000: 1, 99_000: 18} {
		for _, border := range []string{"", "\n    "} {
			if n > 10_000 && border != "" {
				continue
			}
			w, largeCalls := newTestWatch(t, "\n"+largeList(n, border)+largeList(1, border)), 0
			w.SetMemoryLimit(32<<20, func() error { largeCalls++; return nil })
			_, heartbeat, err := w.Next()
			require.NoError(t, err)
			assert.True(t, heartbeat)
			l, _, err := w.Next()
			require.NoError(t, err)
			require.Len(t, l.Members, n)
			assert.Equal(t, Member{ID: fmt.Sprintf("s-%06d", n-1), Addr: fmt.Sprintf("10.1.%d.%d:8080", (n-1)/250, (n-1)%250), Zone: "z", Kind: "m",
				Dst: int64(n - 1), Weight: 1, Serving: true}, l.Members[n-1])
			assert.True(t, l.Complete)
			assert.Equal(t, want, largeCalls, n)
			l, _, err = w.Next()
			require.NoError(t, err)
			assert.Len(t, l.Members, 1)
			assert.Equal(t, want, largeCalls, "the small one behind it is none")
		}
	}
}

// The end of an object's line may arrive separately, wherever the buffer ends. It is no heartbeat.
func TestEndOfObjectLineIsNoHeartbeat(t *testing.T) {
	for over := -2; over <= 2; over++ {
		object := `{"revision":1,"members":[],"x":"` + strings.Repeat("x", watchBufferSize+over-34) + `"}`
		for behind, heartbeat := range map[string]bool{"\n" + largeList(1, ""): false, " " + largeList(1, ""): false, "\n \n": true} {
			w := newTestWatch(t, object+behind)
			_, _, err := w.Next()
			require.NoError(t, err)
			l, is, err := w.Next()
			assert.NoError(t, err, over)
			assert.Equal(t, heartbeat, is, "%d, %q", over, behind)
			assert.Equal(t, !heartbeat, len(l.Members) == 1, "%d, %q", over, behind)
		}
	}
}

func TestListAboveMemoryLimitIsRefused(t *testing.T) {
	for limit, fits := range map[int64]bool{2 << 20: false, 4 << 20: true} {
		w := newTestWatch(t, largeList(12_000, ""))
		w.SetMemoryLimit(limit, func() error { return nil })
		l, _, err := w.Next()
		if fits {
			assert.NoError(t, err)
			assert.Len(t, l.Members, 12_000)
			continue
		}
		assert.ErrorIs(t, err, ErrTooLarge)
		assert.ErrorContains(t, err, "more than 2097152 bytes")
		assert.Zero(t, l)
	}
	w := newTestWatch(t, largeList(7_700, ""))
	w.SetMemoryLimit(1, func() error { return io.ErrNoProgress })
	l, _, err := w.Next()
	assert.NoError(t, err, "up to 1 MiB a list is taken whatever the memory")
	assert.Len(t, l.Members, 7_700)
	w = newTestWatch(t, largeList(12_000, ""))
	w.SetMemoryLimit(4<<20, func() error { return io.ErrNoProgress })
	_, _, err = w.Next()
	assert.ErrorIs(t, err, io.ErrNoProgress)
}

// Text without a complete member is limited: before the members, between two, within one and after them.
func TestTextWithoutMemberIsLimited(t *testing.T) {
	fill := strings.Repeat(" ", maxGap+watchBufferSize) // part of it may count towards the previous member
	for _, text := range []string{`{"x":"` + fill + `","revision":1,"members":[]}`, `{"revision":1,"members":[` + fill + `]}`,
		`{"revision":1,"members":[{"id":"x","cell":1},` + fill + `{"id":"y","cell":1}]}`, `{"revision":1,"members":[{"id":"x","cell":1,"y":"` + fill + `"}]}`,
		`{"revision":1,"members":[],"x":` + fill + `1}`, fill + largeList(1, "")} {
		_, _, err := newTestWatch(t, text+"\n").Next()
		assert.True(t, IsMalformed(err), "%.40s: %v", text, err)
	}
	l := &lineReader{r: bufio.NewReader(strings.NewReader(fill + "\n" + largeList(1, "")))}
	_, err := io.Copy(io.Discard, l)
	assert.True(t, IsMalformed(err))
	n, err := l.Read(make([]byte, 9))
	assert.Zero(t, n)
	assert.True(t, IsMalformed(err), "a decoder that asks again is told the same")
	many := strings.Repeat(`{"id":"x","cell":1,"y":"`+strings.Repeat("y", 4000)+`"},`, 300)
	list, _, err := newTestWatch(t, `{"revision":1,"members":[`+many+`{"id":"z","cell":1}]}`+"\n").Next()
	assert.NoError(t, err, "it counts from the latest member")
	assert.Len(t, list.Members, 301)
}
