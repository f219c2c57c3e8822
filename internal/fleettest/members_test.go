package fleettest

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestARestartIsALaterIncarnationToTheOthers(t *testing.T) {
	t.Parallel()
	r := New(t, Setup{Senders: 3, OperatorFile: fleetOperatorFile})
	r.Start()
	logs := func(s, what string) func(Record) bool {
		return func(Record) bool { return strings.Contains(r.Sender(s).Log(), what) }
	}
	r.Until("a knows b", logs("a", `"name":"b","state":"alive","incarnation":1`))
	r.Sender("b").Kill()
	r.Until("a suspects b", logs("a", `"name":"b","state":"doubted","incarnation":1`))
	r.Until("b is dead to a", logs("a", `"name":"b","state":"gone","incarnation":1`))
	r.Sender("b").Start()
	r.Until("b is alive again", logs("a", `"name":"b","state":"alive","incarnation":2`))
	r.Sender("b").Term()
	r.Until("c sees that b left", logs("c", `"name":"b","state":"left","incarnation":2`))
	require.NotContains(t, r.Sender("a").Log(), "without the fleet")
}
