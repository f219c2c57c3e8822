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

const meterEach = 5 * time.Second // between two looks: a connection that ends is missed by less than what passed since

// meter counts at the sockets of this process what passed on connections that were accepted at given addresses: the kernel's own counts
// (TCP_INFO), HTTP heads included. What is heard there is posts of others; what is said there is answers.
type meter struct {
	own  map[string]bool // addresses
	mu   sync.Mutex
	seen map[uint64]traffic // by the socket's cookie; emptied as it adds up
	past traffic            // of connections that ended
	cost time.Duration      // processor time of the looks
	done chan struct{}
	over sync.WaitGroup
}

// traffic is what passed on connections.
type traffic struct{ in, out, segments uint64 }

func (a traffic) add(b traffic) traffic {
	return traffic{a.in + b.in, a.out + b.out, a.segments + b.segments}
}

func newMeter(all []Place) *meter {
	m := &meter{own: map[string]bool{}, seen: map[uint64]traffic{}, done: make(chan struct{})}
	for _, p := range all {
		m.own[p.Addr] = true
	}
	m.over.Go(func() {
		each := time.NewTicker(meterEach)
		defer each.Stop()
		for {
			select {
			case <-m.done:
				return
			case <-each.C:
				m.look()
			}
		}
	})
	return m
}

func (m *meter) close() {
	close(m.done)
	m.over.Wait()
}

// look reads all sockets and gives what has passed so far.
func (m *meter) look() traffic {
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
	sum := m.past
	for cookie, t := range m.seen {
		if _, lives := now[cookie]; !lives {
			m.past, sum = m.past.add(t), sum.add(t)
		}
	}
	for _, t := range now {
		sum = sum.add(t)
	}
	m.seen = now
	m.cost += threadTime() - from
	return sum
}

func (m *meter) spent() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cost
}

// read gives a socket's counts; false for what is no accepted connection of these addresses. A descriptor may be another's by now: nothing
// is done to it but to ask.
func (m *meter) read(fd int) (cookie uint64, t traffic, is bool) {
	at, err := unix.Getsockname(fd)
	if err != nil {
		return 0, t, false
	}
	in, ok := at.(*unix.SockaddrInet4)
	if !ok || !m.own[address(in)] {
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

func address(in *unix.SockaddrInet4) string {
	var b strings.Builder
	for i, part := range in.Addr {
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(strconv.Itoa(int(part)))
	}
	return b.String() + ":" + strconv.Itoa(in.Port)
}

// descriptors lists those of this process.
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

func spentBy(who int) time.Duration {
	var u unix.Rusage
	if unix.Getrusage(who, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func threadTime() time.Duration  { return spentBy(unix.RUSAGE_THREAD) }
func processTime() time.Duration { return spentBy(unix.RUSAGE_SELF) }

// size is what this process holds: live objects and stacks, resident pages, descriptors, goroutines.
type size struct{ heap, resident, descriptors, goroutines float64 }

func sizeNow() size {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC() // what the first one finalized
	runtime.ReadMemStats(&s)
	z := size{heap: float64(s.HeapAlloc + s.StackInuse), descriptors: float64(len(descriptors())), goroutines: float64(runtime.NumGoroutine())}
	if text, err := os.ReadFile("/proc/self/statm"); err == nil {
		if f := strings.Fields(string(text)); len(f) > 1 {
			pages, _ := strconv.ParseFloat(f[1], 64)
			z.resident = pages * float64(os.Getpagesize())
		}
	}
	return z
}

// load is the machine's, as one line.
func machineLoad() string {
	text, _ := os.ReadFile("/proc/loadavg")
	return strings.Join(strings.Fields(string(text))[:3], " ")
}
