package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const host = "127.0.0.1"

func TestReservedPortRefusesConnectionsWithoutListener(t *testing.T) {
	r, err := Reserve(host)
	require.NoError(t, err)
	defer r.Release()
	for range 3 {
		_, err = net.Dial("tcp", r.Addr.String())
		require.ErrorIs(t, err, unix.ECONNREFUSED)
		l, err := r.Listen()
		require.NoError(t, err)
		c, err := net.Dial("tcp", r.Addr.String())
		require.NoError(t, err)
		require.NoError(t, c.Close())
		require.NoError(t, l.Close())
	}
}

func TestReservedPortIsNotAssignedAgain(t *testing.T) {
	reserved := map[string]bool{}
	for range 200 {
		r, err := Reserve(host)
		require.NoError(t, err)
		defer r.Release()
		require.False(t, reserved[r.Addr.String()])
		reserved[r.Addr.String()] = true
	}
	for range 200 {
		l, err := net.Listen("tcp", host+":0")
		require.NoError(t, err)
		require.False(t, reserved[l.Addr().String()])
		require.NoError(t, l.Close())
	}
}

func TestReserveRequiresIPv4Loopback(t *testing.T) {
	for _, host := range []string{"", "0.0.0.0", "10.0.0.1", "::1", "localhost"} {
		_, err := Reserve(host)
		require.Error(t, err, host)
	}
}
