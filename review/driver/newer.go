package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"ravenlink/internal/links"
	"ravenlink/internal/purge"
)

// newerPeer: a peer of the fleet tells of an order in a state that this version does not know, as a newer version may.
func newerPeer(p *play) error {
	p.answer = func(*call) (int, time.Duration) { return 200, 100 * time.Millisecond }
	receivers, discovery, err := p.world()
	if err != nil {
		return err
	}
	mine, err := p.freeAddr()
	if err != nil {
		return err
	}
	other, err := p.freeAddr()
	if err != nil {
		return err
	}
	text := fmt.Sprintf("version = 1\n[fleet]\nname = \"yard\"\nself = \"a\"\nlisten = \"%s\"\norders_dst = %d\n[[fleet.peer]]\nname = \"b\"\naddress = \"%s\"\n"+
		"[[fleet.tenant]]\nname = \"north\"\ndst = [7]\n", mine, ordersDst, other)
	s, err := p.sender(0, 2, receivers, discovery, text)
	if err != nil {
		return err
	}
	l, err := links.New(zap.NewNop(), links.Hello{Fleet: "yard", Name: "b", Incarnation: 1, Folder: 77}, []links.Peer{{Name: "a", Addr: mine}}, other,
		func(links.Hello, links.Frame) {})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = l.Run(ctx) }()
	if err := s.begin(); err != nil {
		return err
	}
	if err := s.ready(); err != nil {
		return err
	}
	state := purge.State(2) // cancelled
	if p.trouble {
		state = 4 // one more than this version knows
	}
	c := purge.Case{Order: purge.Order{Act: purge.ActPurge, Tenant: "north", Scope: "held", ID: "2026-1", Tell: purge.Tell{Dst: 8, Lane: "notice"}},
		Epoch: purge.Epoch{N: 1, By: "b/4d"}, Owner: "b", Term: 1, Version: 1, State: state}
	for i := range 20 {
		c.Version = uint64(i + 1)
		body, err := cbor.Marshal(purge.Msg{Case: &c})
		if err != nil {
			return err
		}
		l.Send("a", links.Frame{Kind: links.Purge, Slot: "case/north/2026-1", Body: body})
		time.Sleep(200 * time.Millisecond)
	}
	if s.ended(time.Second) {
		for i, line := range append(s.logged("panic:"), s.logged("purge.State")...) {
			if i < 4 {
				p.note("log: %.200s", line)
			}
		}
		return fmt.Errorf("%w: the sender's process crashed", errBroken)
	}
	return nil
}
