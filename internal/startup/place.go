package startup

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/tidwall/gjson"
)

// The environment variables that tell a sender its place, and the figures used where a limit is not told.
const (
	varFile      = "RELAY_CONFIG"
	varState     = "RELAY_STATE"
	varListen    = "RELAY_LISTEN"
	varDiscovery = "RELAY_DISCOVERY"

	fewSockets = 256
	fewMB      = 32
)

// Read loads the file that the environment names, and checks that a sender can start from it.
func Read(env func(string) string) (gjson.Result, error) {
	path := env(varFile)
	c, err := load(path)
	switch {
	case err != nil:
		return c, err
	case len(c.Get("settings.classes").Array()) == 0:
		return c, fmt.Errorf("start file %s names no lane (settings.classes)", path)
	case !c.Get("known.members").IsArray():
		return c, fmt.Errorf("start file %s has no list of receivers (known.members)", path)
	}
	for _, name := range []string{varState, varListen} {
		if env(name) == "" {
			return c, errors.New(name + " is not set")
		}
	}
	if _, discovery := Addresses(env, c); discovery == "" {
		return c, errors.New(varDiscovery + " is not set")
	}
	return c, nil
}

func load(path string) (c gjson.Result, err error) {
	if path == "" {
		return c, errors.New(varFile + " is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("start file: %w", err)
	}
	if !gjson.ValidBytes(text) {
		return c, fmt.Errorf("start file %s is no JSON", path)
	}
	return gjson.ParseBytes(text), nil
}

// Moved reads from the start file, while the sender runs, where discovery is now.
func Moved(env func(string) string) (discovery string, err error) {
	path := env(varFile)
	c, err := load(path)
	if err != nil {
		return "", err
	}
	discovery = c.Get("discovery").String()
	if _, _, err := net.SplitHostPort(discovery); err != nil {
		return "", fmt.Errorf("start file %s names no address of discovery: %w", path, err)
	}
	return discovery, nil
}

// Module gives the part of the start file that the module's functions read.
func Module(c gjson.Result) gjson.Result { return c.Get("settings") }

// Addresses are where clients connect, and where discovery is. Of the latter the start file knows best: it may
// have been replaced since the environment was made.
func Addresses(env func(string) string, c gjson.Result) (listen, discovery string) {
	if discovery = c.Get("discovery").String(); discovery == "" {
		discovery = env(varDiscovery)
	}
	return env(varListen), discovery
}

// StateDir is the folder that lasts.
func StateDir(env func(string) string) string { return env(varState) }

// Known is the list of receivers from before the start, in discovery's form.
func Known(c gjson.Result) []byte { return []byte(c.Get("known").Raw) }

// Seed is for the module's chance.
func Seed(c gjson.Result) uint64 {
	text := c.Get("seed").String()
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	return c.Get("seed").Uint()
}

// Fellows are the addresses for notes between senders: our own, that of all, and those they come from.
func Fellows(c gjson.Result) (listen, all string, each []string) {
	return c.Get("peer_listen").String(), c.Get("peers_all").String(), names(c.Get("peers"))
}

// Name is the sender's.
func Name(c gjson.Result) string { return c.Get("name").String() }

// Cores is how many of the machine's cores the sender may use.
func Cores(c gjson.Result) int { return max(1, int(c.Get("limits.cores").Float()+0.5)) }

// Memory is the limit in bytes.
func Memory(c gjson.Result) int64 {
	if mb := c.Get("limits.memory_mb").Float(); mb > 0 {
		return int64(mb * (1 << 20))
	}
	return fewMB << 20
}

// Sockets is the limit on descriptors.
func Sockets(c gjson.Result) int {
	if n := int(c.Get("limits.sockets").Int()); n > 0 {
		return n
	}
	return fewSockets
}

// Of the folder that lasts.
const (
	diskShare  = 0.9  // for the spool; the rest is for what else lasts there
	asideShare = 0.03 // of the spool's part, for what is remembered of ended messages and of receivers
)

// Aside is what the spool leaves of its part for what is remembered of ended messages and of receivers, in bytes.
func Aside(c gjson.Result) int64 { return int64(asideShare * float64(Disk(c))) }

// SpoolRoom is what the spool may take of that folder, in bytes.
func SpoolRoom(c gjson.Result) int64 { return int64(diskShare * float64(Disk(c))) }

// Targets gives the target times of the traffic classes in µs, none for one that has none.
func Targets(c gjson.Result) (ts []int64) {
	for _, l := range lanes(c) {
		if l.Target > 0 {
			ts = append(ts, l.Target)
		}
	}
	return ts
}

// Slots is how many calls may be out at once.
func Slots(c gjson.Result) int { return limit(c.Get("family_info.max_calls")) }

// Disk is the limit in bytes on the folder that lasts.
func Disk(c gjson.Result) int64 { return int64(max(1, c.Get("limits.disk_mb").Float()) * 1e6) }
