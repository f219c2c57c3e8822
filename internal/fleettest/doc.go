// Package fleettest runs several processes of the built program on loopback, with emulated receivers, discovery, platform and
// clients around them and a fault proxy in every directed link between two of them, and judges what passed on the wire. All of it
// is test files: the rig is in those named after a part of it.
//
//	r := New(t, Setup{Senders: 3, Destinations: []int64{7}})
//	r.Start()
//	c := r.Client(0)
//	c.HandIn(Message{ID: "m1", Lane: "notice", Dst: 7})
//	r.Link("a", "b").Set(Faults{Cut: true})
//	r.Sender("a").Kill()
//	r.Sender("a").Start()
//	r.UntilEnded()
//	r.Judge()
//
// No sleep decides: a test waits on conditions with Until, whose limit no good run reaches.
package fleettest
