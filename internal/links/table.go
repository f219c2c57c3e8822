package links

import (
	"fmt"
	"net"
	"strconv"
)

// Table is the links' part of the operator's file.
type Table struct {
	Fleet  string      `toml:"name"`
	Self   string      `toml:"self"`
	Listen string      `toml:"listen"`
	Peers  []PeerTable `toml:"peer"`
}

// PeerTable configures one other sender.
type PeerTable struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // where this sender reaches it
}

const (
	maxNameBytes = 64
	maxPeers     = 1023
)

// Validate reports each fault with the name of its setting, such as listen or peer.0.address.
func (t Table) Validate(fault func(setting, what string)) {
	checkName(t.Fleet, "name", fault)
	checkName(t.Self, "self", fault)
	checkAddress(t.Listen, "listen", fault)
	if len(t.Peers) > maxPeers {
		fault("peer", fmt.Sprintf("%d peers; at most %d", len(t.Peers), maxPeers))
		return
	}
	names, addresses := map[string]bool{t.Self: true}, map[string]bool{t.Listen: true}
	for i, p := range t.Peers {
		at := fmt.Sprintf("peer.%d.", i)
		checkName(p.Name, at+"name", fault)
		checkAddress(p.Address, at+"address", fault)
		if names[p.Name] {
			fault(at+"name", fmt.Sprintf("%q is listed twice, or is this sender", p.Name))
		}
		if addresses[p.Address] {
			fault(at+"address", fmt.Sprintf("%q is used twice: each link needs its own address", p.Address))
		}
		names[p.Name], addresses[p.Address] = true, true
	}
}

// PeerList returns the peers in the form that New takes.
func (t Table) PeerList() (peers []Peer) {
	for _, p := range t.Peers {
		peers = append(peers, Peer{Name: p.Name, Addr: p.Address})
	}
	return peers
}

func checkName(name, setting string, fault func(setting, what string)) {
	if name == "" || len(name) > maxNameBytes {
		fault(setting, fmt.Sprintf("a name needs 1 to %d bytes", maxNameBytes))
	}
}

func checkAddress(address, setting string, fault func(setting, what string)) {
	host, port, err := net.SplitHostPort(address)
	if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || n == 0 || host == "" {
		fault(setting, fmt.Sprintf("%q is no HOST:PORT", address))
	}
}
