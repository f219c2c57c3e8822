// Package loopback reserves loopback addresses for programs that bind them later or repeatedly. A test can pass an address on before its
// program runs, and the kernel assigns the port to no other socket while the program is down.
package loopback

import (
	"fmt"
	"net"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// Reservation holds a TCP port on a loopback address. Its socket is bound but never listens: connections are refused while no program
// listens, programs that set SO_REUSEADDR (as net.Listen does) may listen, and the kernel does not assign the port to other sockets.
type Reservation struct {
	Addr netip.AddrPort
	fd   int
}

// Reserve reserves a free port on a loopback IPv4 address such as 127.0.0.1.
func Reserve(host string) (*Reservation, error) {
	ip, err := netip.ParseAddr(host)
	if err != nil || !ip.Is4() || !ip.IsLoopback() {
		return nil, fmt.Errorf("reserve a port: %q is not a loopback IPv4 address", host)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	r := &Reservation{fd: fd}
	if err := r.bind(ip); err != nil {
		r.Release()
		return nil, err
	}
	return r, nil
}

func (r *Reservation) bind(ip netip.Addr) error {
	if err := unix.SetsockoptInt(r.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	if err := unix.Bind(r.fd, &unix.SockaddrInet4{Addr: ip.As4()}); err != nil {
		return os.NewSyscallError("bind", err)
	}
	sockaddr, err := unix.Getsockname(r.fd)
	if err != nil {
		return os.NewSyscallError("getsockname", err)
	}
	r.Addr = netip.AddrPortFrom(ip, uint16(sockaddr.(*unix.SockaddrInet4).Port))
	return nil
}

// Listen listens on the reserved address.
func (r *Reservation) Listen() (net.Listener, error) { return net.Listen("tcp", r.Addr.String()) }

// Release frees the port.
func (r *Reservation) Release() { _ = unix.Close(r.fd) }
