package verdicts

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestForgetRejectsOlderFacts(t *testing.T) {
	timing, room := Defaults()
	table := New("a", 1, timing, room)
	old := Fact{Subject: Subject{Dst: 7, Receiver: "r"}, Kind: Down}
	table.Observe(1_000_000, old)
	table.Observe(1_000_000, Fact{Subject: Subject{Dst: 8, Receiver: "r"}, Kind: Down})
	assert.Equal(t, 1, table.Forget(1_000_001, 7))
	assert.Equal(t, 1, table.Len(), "the other destination's fact stays")
	old.Age = 500_000
	table.Observe(1_100_000, old)
	assert.Equal(t, 1, table.Len(), "a late copy is rejected")
	old.Age = 0
	table.Observe(1_100_000, old)
	assert.Equal(t, 2, table.Len(), "an observation made since is accepted")
}
