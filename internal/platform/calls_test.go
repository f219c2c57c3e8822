package platform

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ravenlink/internal/protocol"
	"ravenlink/internal/routing"
	"ravenlink/internal/transport"
)

func TestTableOfOutcomes(t *testing.T) {
	for _, c := range []struct {
		stage transport.Stage
		a     protocol.Answer
		want  routing.Result
		wait  int64
	}{
		{transport.NotReady, protocol.Answer{}, routing.NotSent, 0},
		{transport.NoRoom, protocol.Answer{}, routing.NotSent, 0},
		{transport.NotConnected, protocol.Answer{}, routing.NotConnected, 0},
		{transport.NotWritten, protocol.Answer{}, routing.NotConnected, 0},
		{transport.Broken, protocol.Answer{}, routing.Reset, 0},
		{transport.Broken, protocol.Answer{Status: 200}, routing.Delivered, 0},
		{transport.Broken, protocol.Answer{Status: 503}, routing.Reset, 0},
		{transport.TimedOut, protocol.Answer{}, routing.TimedOut, 0},
		{transport.CalledOff, protocol.Answer{}, routing.CalledOff, 0},
		{transport.Done, protocol.Answer{Status: 200}, routing.Delivered, 0},
		{transport.Done, protocol.Answer{Status: 500}, routing.Errored, 0},
		{transport.Done, protocol.Answer{Status: 429, WaitMicros: 250}, routing.TurnedAway, 250},
		{transport.Done, protocol.Answer{Status: 503}, routing.TurnedAway, 0},
		{transport.Done, protocol.Answer{Status: 503, NoSlot: true}, routing.NotSent, 0},
		{transport.Done, protocol.Answer{Status: 504}, routing.NotSent, 0},
		{transport.Done, protocol.Answer{Status: 410}, routing.GoneThere, 0},
		{transport.Done, protocol.Answer{Status: 302}, routing.Reset, 0},
	} {
		got, wait := result(c.stage, c.a)
		assert.Equal(t, c.want, got, "%+v", c)
		assert.Equal(t, c.wait, wait, "%+v", c)
	}
}
