package routing

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
)

// manyListed returns n receivers, one for each destination.
func manyListed(n int) (ls []Listing) {
	for i := range n {
		ls = append(ls, Listing{ID: fmt.Sprintf("r-%06d", i), Addr: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), Dst: int64(1000 + i),
			Kind: "m", Zone: "z", Weight: 1, Listed: true})
	}
	return ls
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Most known destinations never get a message. The memory for each bounds how many a sender may know: 862 bytes when this test
// was written, without the strings of the list.
func TestMemoryOfAKnownDestination(t *testing.T) {
	const n = 20_000
	for _, weights := range []string{"off", "nominal"} {
		c := beginWith(t, strings.Replace(settings, `{"balancers":1`, `{"weight_source":"`+weights+`","balancers":1`, 1))
		ls := manyListed(n)
		before := heapBytes()
		c.UpdateReceivers(ls, false, false)
		each := float64(heapBytes()-before) / n
		t.Logf("weights %s: %.0f bytes a destination", weights, each)
		assert.Less(t, each, 500.)
		runtime.KeepAlive(c)
		runtime.KeepAlive(ls)
	}
}

// A destination that had a message must not keep much memory for ever either: 1,583 bytes when this test was written, most of it
// for retry budgets.
func TestMemoryOfADestinationThatHadAMessage(t *testing.T) {
	const n = 5000
	c := begin(t)
	ls := manyListed(n)
	before := heapBytes()
	c.UpdateReceivers(ls, false, false)
	for i := range n {
		id := fmt.Sprint(i)
		c.Add(Message{ID: id, Dst: int64(1000 + i), Expires: c.now + 8e6})
		c.now += 1000
		c.Report(c.pick(id), Delivered, 0, Load{})
		require.Equal(t, Completed, c.pick(id).Disposition)
	}
	each := float64(heapBytes()-before) / n
	t.Logf("%.0f bytes a destination", each)
	assert.Less(t, each, 1200.)
	runtime.KeepAlive(c)
	runtime.KeepAlive(ls)
}

// The cost of a list depends on its changes. If a change iterates over all known receivers, 8 times as many cost 8 times as
// much.
func TestCostOfAListDependsOnItsChanges(t *testing.T) {
	run := func(n int) time.Duration {
		c := begin(t)
		ls := manyListed(n)
		c.UpdateReceivers(ls, false, false)
		least := time.Hour
		for i := range 300 {
			ls[i].Weight++
			from := time.Now()
			c.UpdateReceivers(ls[i:i+1], false, false)
			least = min(least, time.Since(from))
		}
		return least
	}
	few, many := run(5000), run(40_000)
	t.Logf("%v among 5,000, %v among 40,000", few, many)
	assert.Less(t, float64(many)/float64(few), 3.)
}

// A large list is logged in one line, a small one in a line for each new receiver; nothing is logged while the router is locked.
func TestNewReceiversOfALargeListAreLoggedInOneLine(t *testing.T) {
	var lines []string
	var r *Router
	r = New(1, gjson.Parse(settings), func() int64 { return 1e12 }, func(string) {}, func(text string) {
		if strings.Contains(text, " at ") {
			lines = append(lines, text)
			require.True(t, r.mu.TryLock(), "logged under the lock")
			r.mu.Unlock()
		}
	})
	ls := manyListed(3 * maxLoggedReceivers)
	r.UpdateReceivers(ls[:maxLoggedReceivers], true, false)
	require.Len(t, lines, maxLoggedReceivers)
	assert.Equal(t, fmt.Sprintf("receiver %d of destination 1099 is r-000099 at 10.1.0.99:8080, weight 1", r.receiverNumber(t, "r-000099")), lines[maxLoggedReceivers-1])
	lines = nil
	r.UpdateReceivers(ls[:2*maxLoggedReceivers+1], false, false)
	require.Len(t, lines, 1)
	assert.Contains(t, lines[0], "101 receivers are new with one list, the first is")
	assert.Contains(t, lines[0], "r-000100 at 10.1.0.100:8080, of destination 1100")
	lines = nil
	r.UpdateReceivers(ls[:2*maxLoggedReceivers+1], true, false)
	assert.Empty(t, lines, "none is new")
}

func (r *Router) receiverNumber(t *testing.T, id string) uint32 {
	n, known := r.numberOf(id)
	require.True(t, known, id)
	return n
}

// Two ids with one checksum have numbers of their own, in whatever order they come and go.
func TestIDsWithOneChecksumHaveDistinctNumbers(t *testing.T) {
	c := begin(t)
	at := func(id string, listed bool) {
		c.UpdateReceivers([]Listing{{ID: id, Addr: "h:" + id, Dst: 7, Listed: listed}}, false, false)
	}
	at("plumless", true)
	at("buckeroo", true)
	first, second := c.receiverNumber(t, "plumless"), c.receiverNumber(t, "buckeroo")
	require.Equal(t, first+1, second)
	at("plumless", false)
	c.now += 61e6
	at("buckeroo", true)
	_, known := c.numberOf("plumless")
	assert.False(t, known, "forgotten")
	assert.Equal(t, second, c.receiverNumber(t, "buckeroo"), "it keeps its number as long as it is known")
	to, known := host{c.Router}.receiver(second)
	assert.True(t, known)
	assert.Equal(t, Receiver{ID: "buckeroo", Addr: "h:buckeroo", Zone: -1, number: second, dst: 7}, to)
	at("plumless", true)
	assert.Equal(t, first, c.receiverNumber(t, "plumless"))
	at("buckeroo", false)
	c.now += 61e6
	at("plumless", true)
	assert.Empty(t, c.numbers)
	assert.Len(t, c.receivers, c.sender.Stats().Known)
}
