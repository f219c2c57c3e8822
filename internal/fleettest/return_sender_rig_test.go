package fleettest

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"ravenlink/internal/loopback"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
)

// Processes of a return play.

var nextNotesPort atomic.Int64 // of this test program; plays run side by side

func init() { nextNotesPort.Store(firstNotesPort) }

// returnSender is one process of the play and what its clients know of it.
type returnSender struct {
	number int
	dir    string
	listen *loopback.Reservation
	part   float64 // of the traffic
	log    logText

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	idle   []*soakConn // of clients
	leaves time.Time   // when it was asked to end, zero if it was not
	killed time.Time
}

// notesOf is the address at which a sender hears notes. This program's own address has no other use of UDP, so no port there is taken.
func (p *returnRig) notesOf(sender int) *net.UDPAddr {
	return &net.UDPAddr{IP: net.ParseIP(ownHost()), Port: p.notesPort + sender}
}

// relayNotes hands the notes of each sender on to all others.
func (p *returnRig) relayNotes() {
	p.notesPort = int(nextNotesPort.Add(int64(p.Senders))) - p.Senders
	for range p.senders {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ownHost())})
		require.NoError(p.t, err)
		p.relays = append(p.relays, c)
	}
	for i, c := range p.relays {
		p.work.Go(func() {
			buf := make([]byte, 512)
			for {
				n, err := c.Read(buf)
				if err != nil {
					return
				}
				for j := range p.senders {
					if j != i {
						_, _ = c.WriteToUDP(buf[:n], p.notesOf(j))
					}
				}
			}
		})
	}
}

// peers are the settings of a sender's notes.
func (p *returnRig) peers(s *returnSender) string {
	if !p.Notes {
		return ""
	}
	var all []string
	for _, c := range p.relays {
		all = append(all, fmt.Sprintf("%q", c.LocalAddr()))
	}
	return fmt.Sprintf(`"peer_listen":"%s","peers_all":"%s","peers":[%s],`, p.notesOf(s.number), p.relays[s.number].LocalAddr(), strings.Join(all, ","))
}

func (p *returnRig) settings() string {
	return fmt.Sprintf(`{"balancers":%d,"discovery":"automatic","weight_source":"%s","machine_types":["m"],"zones":["z"],
"classes":[{"name":"notice","aim":%[3]d,"deadline":%[4]d,"group":"all","importance":1,"late_worth":0.5,"repeat":"by_key","window":15000},
{"name":"once","aim":%[3]d,"deadline":%[4]d,"group":"all","importance":1,"late_worth":0.5,"repeat":"once"}],
"family_info":{"max_calls":12,"own_limits":[false],"batch_by_kind":[1],"late":"halves"},
"limits":{"most_held":60,"send_cap":6,"probes":true,"cancel":true,"retry_after":true,"peers":%[5]t,"max_retry_after":2000,"connect_timeout":1000,"conn_idle":5000},
"rules":{"start_capacity":%[6]g,"warm_within":%[7]d,"overload_factor":%[8]d}}`, p.Senders, p.Weights, returnTarget.Milliseconds(), p.within().Milliseconds(),
		p.Notes, returnShare, returnWarm.Milliseconds(), returnFactor)
}

// spawn starts a sender's process on its folder.
func (p *returnRig) spawn(s *returnSender) {
	config := fmt.Sprintf(`{"name":"n%d","discovery":"%s","seed":"%016x",%s"limits":{"cores":1,"memory_mb":192,"sockets":512,"disk_mb":3},`+
		`"known":%s,"settings":%s}`, s.number, p.agentAt, p.Seed<<16|uint64(s.number), p.peers(s), p.whole(), p.settings())
	require.NoError(p.t, os.WriteFile(filepath.Join(s.dir, "config.json"), []byte(config), 0o600))
	cmd := exec.Command(Binary(p.t))
	cmd.Env = append(os.Environ(), "RAVENLINK_LOG=info", "RELAY_CONFIG="+filepath.Join(s.dir, "config.json"), "RELAY_STATE="+filepath.Join(s.dir, "state"),
		"RELAY_LISTEN="+s.listen.Addr.String(), "RELAY_DISCOVERY="+p.agentAt, fmt.Sprintf("RELAY_NAME=n%d", s.number))
	cmd.Stderr = &s.log
	require.NoError(p.t, cmd.Start())
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cmd, s.ended, s.leaves = cmd, ended, time.Time{}
}

// kill ends a sender's process by SIGKILL, with its clients' connections.
func (s *returnSender) kill() {
	s.mu.Lock()
	cmd, ended, idle := s.cmd, s.ended, s.idle
	s.cmd, s.idle, s.killed = nil, nil, time.Now()
	s.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
	for _, c := range idle {
		_ = c.Close()
	}
}
