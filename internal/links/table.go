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

// PeerTable lists one other sender.
type PeerTable struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // where this sender reaches it
}

const (
	nameBytes = 64
	peersMost = 1023
)

// Check names what is wrong with the table, by setting: listen, or peer.0.address.
func (t Table) Check(fault func(setting, what string)) {
	checkName(t.Fleet, "name", fault)
	checkName(t.Self, "self", fault)
	checkAddress(t.Listen, "listen", fault)
	if len(t.Peers) > peersMost {
		fault("peer", fmt.Sprintf("%d peers; at most %d", len(t.Peers), peersMost))
		return
	}
	names, addresses := map[string]bool{t.Self: true}, map[string]bool{t.Listen: true}
	for i, p := range t.Peers {
		at := fmt.Sprintf("peer.%d.", i)
		checkName(p.Name, at+"name", fault)
		checkAddress(p.Address, at+"address", fault)
		if names[p.Name] {
			fault(at+"name", fmt.Sprintf("%q is listed twice, or this sender itself", p.Name))
		}
		if addresses[p.Address] {
			fault(at+"address", fmt.Sprintf("%q stands here twice: every link has an address of its own", p.Address))
		}
		names[p.Name], addresses[p.Address] = true, true
	}
}

// List is the peers as New takes them.
func (t Table) List() (peers []Peer) {
	for _, p := range t.Peers {
		peers = append(peers, Peer{Name: p.Name, Addr: p.Address})
	}
	return peers
}

func checkName(name, setting string, fault func(setting, what string)) {
	if name == "" || len(name) > nameBytes {
		fault(setting, fmt.Sprintf("a name of 1 to %d bytes is wanted", nameBytes))
	}
}

func checkAddress(address, setting string, fault func(setting, what string)) {
	host, port, err := net.SplitHostPort(address)
	if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || n == 0 || host == "" {
		fault(setting, fmt.Sprintf("%q is no HOST:PORT", address))
	}
}
