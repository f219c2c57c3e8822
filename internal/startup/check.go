package startup

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/tidwall/gjson"
)

// Check reports every fault of the environment and the start file that prevents a start or makes a setting ineffective.
func Check(env func(string) string) (faults []error) {
	path := env(varFile)
	report := func(format string, a ...any) { faults = append(faults, fmt.Errorf(format, a...)) }
	for _, name := range []string{varFile, varState, varListen} {
		if env(name) == "" {
			report("%s is not set", name)
		}
	}
	if at := env(varListen); at != "" {
		if _, _, err := net.SplitHostPort(at); err != nil {
			report("%s: %w", varListen, err)
		}
	}
	if path == "" {
		return faults
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return append(faults, fmt.Errorf("start file: %w", err))
	}
	if err := json.Unmarshal(text, new(any)); err != nil {
		return append(faults, syntaxErrorAt(path, text, err))
	}
	checkFile(gjson.ParseBytes(text), env, func(at, format string, a ...any) {
		line, column := locate(text, at)
		report("%s:%d:%d: %s: %s", path, line, column, at, fmt.Sprintf(format, a...))
	})
	return faults
}

// syntaxErrorAt adds line and column to a JSON syntax error.
func syntaxErrorAt(path string, text []byte, err error) error {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return fmt.Errorf("%s: %w", path, err)
	}
	line, column := lineAndColumn(text, int(syntax.Offset)-1)
	return fmt.Errorf("%s:%d:%d: %w", path, line, column, err)
}

func lineAndColumn(text []byte, offset int) (line, column int) {
	before := text[:max(0, min(offset, len(text)))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - (bytes.LastIndexByte(before, '\n') + 1) + 1
}

// locate returns the position of the value at a path or, if there is none, of its nearest existing ancestor.
func locate(text []byte, path string) (line, column int) {
	for path != "" {
		if v := gjson.GetBytes(text, path); v.Exists() && v.Index > 0 {
			return lineAndColumn(text, v.Index)
		}
		path = path[:max(0, strings.LastIndexByte(path, '.'))]
	}
	return 1, 1
}

func checkFile(c gjson.Result, env func(string) string, fault func(at, format string, a ...any)) {
	classes := c.Get("settings.classes").Array()
	if len(classes) == 0 {
		fault("settings.classes", "there is no lane")
	}
	seen := map[string]bool{}
	for i, class := range classes {
		at := fmt.Sprintf("settings.classes.%d", i)
		if name := class.Get("name").String(); name == "" || seen[name] {
			fault(at, "a lane needs a name of its own")
		} else {
			seen[name] = true
		}
		if class.Get("deadline").Float() <= 0 {
			fault(at+".deadline", "a lane needs a deadline above 0")
		}
		if r := class.Get("repeat").String(); r != "repeatable" && r != "by_key" && r != "once" {
			fault(at+".repeat", "%q is none of repeatable, by_key, once", r)
		} else if r == "by_key" && class.Get("window").Float() <= 0 {
			fault(at+".window", "a keyed lane needs a window above 0")
		}
	}
	if !c.Get("known.members").IsArray() {
		fault("known.members", "there is no list of receivers")
	}
	for i, m := range c.Get("known.members").Array() {
		at := fmt.Sprintf("known.members.%d", i)
		if m.Get("id").String() == "" {
			fault(at, "a receiver needs an id")
		}
		if addr := m.Get("host_port").String(); m.Get("phase").String() == "SERVING" {
			if _, _, err := net.SplitHostPort(addr); err != nil {
				fault(at+".host_port", "%q is no address", addr)
			}
		}
	}
	if _, at := Addresses(env, c); at == "" {
		fault("discovery", "neither the file nor %s gives the address of discovery", varDiscovery)
	} else if _, _, err := net.SplitHostPort(at); err != nil {
		fault("discovery", "%q is no address", at)
	}
	for _, name := range []string{"cores", "memory_mb", "sockets", "disk_mb"} {
		if v := c.Get("limits." + name); v.Exists() && v.Float() <= 0 {
			fault("limits."+name, "a limit must be greater than 0")
		}
	}
}
