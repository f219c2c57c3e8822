package startup

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/tidwall/gjson"
)

// Environment variables of a sender, and the defaults of limits that are not set.
const (
	varFile      = "RELAY_CONFIG"
	varState     = "RELAY_STATE"
	varListen    = "RELAY_LISTEN"
	varDiscovery = "RELAY_DISCOVERY"

	defaultSockets  = 256
	defaultMemoryMB = 32
)

// Read loads the start file named by the environment and checks the settings that a start requires.
func Read(env func(string) string) (gjson.Result, error) {
	path := env(varFile)
	c, err := loadFile(path)
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

func loadFile(path string) (c gjson.Result, err error) {
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

// ReloadDiscovery reads the start file of a running sender again and returns the address of discovery.
func ReloadDiscovery(env func(string) string) (discovery string, err error) {
	path := env(varFile)
	c, err := loadFile(path)
	if err != nil {
		return "", err
	}
	discovery = c.Get("discovery").String()
	if _, _, err := net.SplitHostPort(discovery); err != nil {
		return "", fmt.Errorf("start file %s names no address of discovery: %w", path, err)
	}
	return discovery, nil
}

// ModuleSettings returns the settings of the decision module.
func ModuleSettings(c gjson.Result) gjson.Result { return c.Get("settings") }

// Addresses returns the listen address for clients and the address of discovery. For the latter the start file takes
// precedence over the environment: the file may have been replaced since the environment was set.
func Addresses(env func(string) string, c gjson.Result) (listen, discovery string) {
	if discovery = c.Get("discovery").String(); discovery == "" {
		discovery = env(varDiscovery)
	}
	return env(varListen), discovery
}

// StateDir returns the persistent state directory.
func StateDir(env func(string) string) string { return env(varState) }

// KnownReceivers returns the list of receivers known before the start, in discovery's format.
func KnownReceivers(c gjson.Result) []byte { return []byte(c.Get("known").Raw) }

// Seed returns the seed of the module's random numbers: 16 hexadecimal digits or a number.
func Seed(c gjson.Result) uint64 {
	text := c.Get("seed").String()
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	return c.Get("seed").Uint()
}

// PeerAddrs returns the datagram addresses for notes between senders: the own one, the one that reaches all peers, and
// those of the single peers.
func PeerAddrs(c gjson.Result) (listen, all string, each []string) {
	return c.Get("peer_listen").String(), c.Get("peers_all").String(), stringList(c.Get("peers"))
}

// SenderName returns the name of the sender.
func SenderName(c gjson.Result) string { return c.Get("name").String() }

// Cores returns the number of cores that the sender may use, at least 1.
func Cores(c gjson.Result) int { return max(1, int(c.Get("limits.cores").Float()+0.5)) }

// MaxMemoryBytes returns the memory limit.
func MaxMemoryBytes(c gjson.Result) int64 {
	if mb := c.Get("limits.memory_mb").Float(); mb > 0 {
		return int64(mb * (1 << 20))
	}
	return defaultMemoryMB << 20
}

// MaxSockets returns the limit on file descriptors.
func MaxSockets(c gjson.Result) int {
	if n := int(c.Get("limits.sockets").Int()); n > 0 {
		return n
	}
	return defaultSockets
}

// spoolDiskShare is the share of the disk limit for the spool; the rest is for the other files in the state directory.
const spoolDiskShare = 0.9

// MaxSpoolBytes returns the size limit of the spool.
func MaxSpoolBytes(c gjson.Result) int64 { return int64(spoolDiskShare * float64(MaxDiskBytes(c))) }

// TargetTimes returns the target times of the traffic classes in µs, without classes that have none.
func TargetTimes(c gjson.Result) (ts []int64) {
	for _, l := range classes(c) {
		if l.Target > 0 {
			ts = append(ts, l.Target)
		}
	}
	return ts
}

// MaxCalls returns the limit on concurrent calls.
func MaxCalls(c gjson.Result) int { return limit(c.Get("family_info.max_calls")) }

// MaxDiskBytes returns the size limit of the state directory.
func MaxDiskBytes(c gjson.Result) int64 { return int64(max(1, c.Get("limits.disk_mb").Float()) * 1e6) }
