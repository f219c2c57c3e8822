package fleettest

import (
	"bufio"
	"io"
	"net"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a soak client that writes a request to an idle connection which the sender has closed, and then counts it as read and lost
// because it saw the close too late.
func TestSoakClientWritesNothingAfterTheSenderClosed(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", ownHost()+":0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	senderSide, err := l.Accept()
	require.NoError(t, err)
	defer senderSide.Close()
	idle := &clientConn{Conn: c, r: bufio.NewReader(c)}
	assert.False(t, peerHasClosed(c))
	require.NoError(t, senderSide.(*net.TCPConn).CloseWrite())
	require.Eventually(t, func() bool { return peerHasClosed(c) }, waitLimit, time.Millisecond)
	answer, lost := (&returnSender{idleConns: []*clientConn{idle}}).request("PING\r\n")
	assert.Empty(t, answer)
	assert.False(t, lost)
	received, err := io.ReadAll(senderSide)
	require.NoError(t, err)
	assert.Empty(t, received)
}

// A late SIGTERM would end a process that nothing starts again, so that what it has accepted has no end.
func TestSignalForAnEarlierProcessIsDropped(t *testing.T) {
	earlier, current := exec.Command("true"), exec.Command("true")
	s := &returnSender{cmd: current}
	require.False(t, s.signal(earlier, syscall.SIGTERM))
	require.Zero(t, s.termAt)
	s.cmd = nil
	require.False(t, s.signal(s.process(), syscall.SIGTERM), "it was killed")
}

// On a busy machine drawing the schedule takes long. Events that ran meanwhile would draw from the same generator.
func TestEventsWaitForTheStartOfTheSchedule(t *testing.T) {
	p := &returnRig{done: make(chan struct{})}
	ran := make(chan struct{})
	p.at(0, func() { close(ran) })
	require.Len(t, p.scheduled, 1, "no goroutine waits for it yet")
	p.startSchedule()
	<-ran
	p.running.Wait()
	require.Empty(t, p.scheduled)
}
