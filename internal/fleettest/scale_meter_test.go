package fleettest

import (
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const sampleInterval = 5 * time.Second // bounds the traffic that is missed of a connection that ends between two samples

// meter counts the traffic on connections that this process accepted at given addresses, from the kernel's counters (TCP_INFO) and so
// including HTTP headers. Incoming traffic is requests of peers, outgoing traffic the responses to them.
type meter struct {
	addrs    map[string]bool // at which the counted connections are accepted
	mu       sync.Mutex
	lastSeen map[uint64]traffic // open connections as of the last sample, by socket cookie
	ended    traffic            // sum over connections that have closed
	cpu      time.Duration      // CPU time of sampling
	done     chan struct{}
	running  sync.WaitGroup
}

// traffic is the bytes and segments of connections.
type traffic struct{ in, out, segments uint64 }

func (a traffic) add(b traffic) traffic {
	return traffic{a.in + b.in, a.out + b.out, a.segments + b.segments}
}

func newMeter(all []PeerAddr) *meter {
	m := &meter{addrs: map[string]bool{}, lastSeen: map[uint64]traffic{}, done: make(chan struct{})}
	for _, p := range all {
		m.addrs[p.Addr] = true
	}
	m.running.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-m.done:
				return
			case <-ticker.C:
				m.sample()
			}
		}
	})
	return m
}

func (m *meter) close() {
	close(m.done)
	m.running.Wait()
}

// sample reads all sockets and returns the traffic so far.
func (m *meter) sample() traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	from := threadTime()
	now := map[uint64]traffic{}
	for _, fd := range descriptors() {
		if cookie, t, is := m.read(fd); is {
			now[cookie] = t
		}
	}
	sum := m.ended
	for cookie, t := range m.lastSeen {
		if _, open := now[cookie]; !open {
			m.ended, sum = m.ended.add(t), sum.add(t)
		}
	}
	for _, t := range now {
		sum = sum.add(t)
	}
	m.lastSeen = now
	m.cpu += threadTime() - from
	return sum
}

func (m *meter) overhead() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cpu
}

// read returns a socket's counters, or false if it is not a connection accepted at one of the addresses. The descriptor may have been closed
// and reused, so it is only queried.
func (m *meter) read(fd int) (cookie uint64, t traffic, is bool) {
	at, err := unix.Getsockname(fd)
	if err != nil {
		return 0, t, false
	}
	in, ok := at.(*unix.SockaddrInet4)
	if !ok || !m.addrs[addrString(in)] {
		return 0, t, false
	}
	if cookie, err = unix.GetsockoptUint64(fd, unix.SOL_SOCKET, unix.SO_COOKIE); err != nil {
		return 0, t, false
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, t, false
	}
	return cookie, traffic{info.Bytes_received, info.Bytes_sent, uint64(info.Segs_in) + uint64(info.Segs_out)}, true
}

func addrString(in *unix.SockaddrInet4) string {
	var b strings.Builder
	for i, part := range in.Addr {
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(strconv.Itoa(int(part)))
	}
	return b.String() + ":" + strconv.Itoa(in.Port)
}

// descriptors lists the open file descriptors of this process.
func descriptors() (fds []int) {
	names, err := filepath.Glob("/proc/self/fd/*")
	if err != nil {
		return nil
	}
	for _, n := range names {
		if fd, err := strconv.Atoi(filepath.Base(n)); err == nil {
			fds = append(fds, fd)
		}
	}
	return fds
}

func rusageTime(scope int) time.Duration {
	var u unix.Rusage
	if unix.Getrusage(scope, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func threadTime() time.Duration  { return rusageTime(unix.RUSAGE_THREAD) }
func processTime() time.Duration { return rusageTime(unix.RUSAGE_SELF) }

// resourceUsage is the usage of this process: live objects and stacks in bytes, resident memory in bytes, file descriptors, goroutines.
type resourceUsage struct{ heap, resident, descriptors, goroutines float64 }

func currentUsage() resourceUsage {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what the first run finalized
	runtime.ReadMemStats(&s)
	z := resourceUsage{heap: float64(s.HeapAlloc + s.StackInuse), descriptors: float64(len(descriptors())), goroutines: float64(runtime.NumGoroutine())}
	if text, err := os.ReadFile("/proc/self/statm"); err == nil {
		if f := strings.Fields(string(text)); len(f) > 1 {
			pages, _ := strconv.ParseFloat(f[1], 64)
			z.resident = pages * float64(os.Getpagesize())
		}
	}
	return z
}

// loadAverage returns the machine's load averages.
func loadAverage() string {
	text, _ := os.ReadFile("/proc/loadavg")
	return strings.Join(strings.Fields(string(text))[:3], " ")
}
