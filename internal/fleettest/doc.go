// Package fleettest runs several processes of the built program on loopback, with emulated receivers, discovery, platform and
// clients, and a fault proxy on every directed link between two senders. It checks the traffic that was recorded. The package
// consists of test files; the parts of the rig are in the files named *_rig_test.go.
//
//	r := New(t, Setup{Senders: 3, Destinations: []int64{7}})
//	r.Start()
//	c := r.Client(0)
//	c.HandIn(Message{ID: "m1", Class: "notice", Dst: 7})
//	r.Link("a", "b").Set(Faults{Cut: true})
//	r.Sender("a").Kill()
//	r.Sender("a").Start()
//	r.UntilEnded()
//	r.Check()
//
// Tests don't rely on sleeps: they wait for conditions with Until, whose time limit a passing run never reaches.
package fleettest
