package verdicts

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestForgottenDestinationsStayForgotten(t *testing.T) {
	timing, room := Usual()
	table := New("a", 1, timing, room)
	old := Fact{Subject: Subject{Dst: 7, Receiver: "r"}, Kind: Down}
	table.Own(1_000_000, old)
	table.Own(1_000_000, Fact{Subject: Subject{Dst: 8, Receiver: "r"}, Kind: Down})
	assert.Equal(t, 1, table.Forget(1_000_001, 7))
	assert.Equal(t, 1, table.Len(), "another destination's stays")
	old.Age = 500_000
	table.Own(1_100_000, old)
	assert.Equal(t, 1, table.Len(), "a late copy is refused")
	old.Age = 0
	table.Own(1_100_000, old)
	assert.Equal(t, 2, table.Len(), "what is seen since counts")
}
