package fleettest

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"ravenlink/internal/loopback"
)

// Sender processes of a return scenario.

var nextNotesPort atomic.Int64 // shared by all scenarios of this test program, which run concurrently

func init() { nextNotesPort.Store(firstNotesPort) }

// returnSender is one sender process of the scenario, with the state of its clients.
type returnSender struct {
	number        int
	dir           string
	reservation   *loopback.Reservation
	trafficWeight float64 // relative share of the hand-ins
	log           logBuffer

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	idleConns []*clientConn // idle client connections
	termAt    time.Time     // when SIGTERM was sent; zero if it was not
	killedAt  time.Time
}

// noteAddr is where a sender receives notes. Nothing else uses UDP on this program's own loopback address, so its ports are free.
func (p *returnRig) noteAddr(sender int) *net.UDPAddr {
	return &net.UDPAddr{IP: net.ParseIP(ownHost()), Port: p.notesPort + sender}
}

// startNoteRelays forwards the notes of each sender to all others.
func (p *returnRig) startNoteRelays() {
	p.notesPort = int(nextNotesPort.Add(int64(p.Senders))) - p.Senders
	for range p.senders {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ownHost())})
		require.NoError(p.t, err)
		p.noteRelays = append(p.noteRelays, c)
	}
	for i, c := range p.noteRelays {
		p.running.Go(func() {
			buf := make([]byte, 512)
			for {
				n, err := c.Read(buf)
				if err != nil {
					return
				}
				for j := range p.senders {
					if j != i {
						_, _ = c.WriteToUDP(buf[:n], p.noteAddr(j))
					}
				}
			}
		})
	}
}

// peerSettings are the note settings of a sender.
func (p *returnRig) peerSettings(s *returnSender) string {
	if !p.Notes {
		return ""
	}
	var all []string
	for _, c := range p.noteRelays {
		all = append(all, fmt.Sprintf("%q", c.LocalAddr()))
	}
	return fmt.Sprintf(`"peer_listen":"%s","peers_all":"%s","peers":[%s],`, p.noteAddr(s.number), p.noteRelays[s.number].LocalAddr(), strings.Join(all, ","))
}

func (p *returnRig) settings() string {
	return fmt.Sprintf(`{"balancers":%d,"discovery":"automatic","weight_source":"%s","machine_types":["m"],"zones":["z"],
"classes":[{"name":"notice","aim":%[3]d,"deadline":%[4]d,"group":"all","importance":1,"late_worth":0.5,"repeat":"by_key","window":15000},
{"name":"once","aim":%[3]d,"deadline":%[4]d,"group":"all","importance":1,"late_worth":0.5,"repeat":"once"}],
"family_info":{"max_calls":12,"own_limits":[false],"batch_by_kind":[1],"late":"halves"},
"limits":{"most_held":60,"send_cap":6,"probes":true,"cancel":true,"retry_after":true,"peers":%[5]t,"max_retry_after":2000,"connect_timeout":1000,"conn_idle":5000},
"rules":{"start_capacity":%[6]g,"warm_within":%[7]d,"overload_factor":%[8]d}}`, p.Senders, p.Weights, classAim.Milliseconds(), p.deadline().Milliseconds(),
		p.Notes, returnStartShare, returnWarmUp.Milliseconds(), returnOverloadFactor)
}

// startSender starts a sender's process on its state folder.
func (p *returnRig) startSender(s *returnSender) {
	config := fmt.Sprintf(`{"name":"n%d","discovery":"%s","seed":"%016x",%s"limits":{"cores":1,"memory_mb":192,"sockets":512,"disk_mb":3},`+
		`"known":%s,"settings":%s}`, s.number, p.platformAddr, p.Seed<<16|uint64(s.number), p.peerSettings(s), p.fullList(), p.settings())
	require.NoError(p.t, os.WriteFile(filepath.Join(s.dir, "config.json"), []byte(config), 0o600))
	cmd := exec.Command(Binary(p.t))
	cmd.Env = append(os.Environ(), "RAVENLINK_LOG=info", "RELAY_CONFIG="+filepath.Join(s.dir, "config.json"), "RELAY_STATE="+filepath.Join(s.dir, "state"),
		"RELAY_LISTEN="+s.reservation.Addr.String(), "RELAY_DISCOVERY="+p.platformAddr, fmt.Sprintf("RELAY_NAME=n%d", s.number))
	cmd.Stderr = &s.log
	require.NoError(p.t, cmd.Start())
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cmd, s.ended, s.termAt = cmd, ended, time.Time{}
}

// kill ends a sender's process with SIGKILL and closes its clients' connections.
func (s *returnSender) kill() {
	s.mu.Lock()
	cmd, ended, idleConns := s.cmd, s.ended, s.idleConns
	s.cmd, s.idleConns, s.killedAt = nil, nil, time.Now()
	s.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
	for _, c := range idleConns {
		_ = c.Close()
	}
}
