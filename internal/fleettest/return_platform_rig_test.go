package fleettest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// Discovery and the platform of a return play.

// serveAgent stands in for discovery and the platform of all senders.
func (p *returnRig) serveAgent() {
	l, err := net.Listen("tcp", ownHost()+":0")
	require.NoError(p.t, err)
	p.agentAt = l.Addr().String()
	p.agent = &http.Server{Handler: http.HandlerFunc(p.serve)}
	p.work.Go(func() { _ = p.agent.Serve(l) })
}

func (p *returnRig) serve(out http.ResponseWriter, in *http.Request) {
	if in.Method == http.MethodGet {
		p.watch(out, in)
		return
	}
	text, _ := io.ReadAll(in.Body)
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		var n struct {
			ID, State string
			After     int `json:"after_ms"`
		}
		if json.Unmarshal(lines.Bytes(), &n) != nil {
			continue
		}
		p.over(n.ID)
		if n.State == "returned" {
			p.comeAgain(n.ID, n.After)
		}
	}
	out.WriteHeader(http.StatusNoContent)
}

func (p *returnRig) watch(out http.ResponseWriter, in *http.Request) {
	out.WriteHeader(http.StatusOK)
	beat := time.NewTicker(beatOfList)
	defer beat.Stop()
	for sent := 0; ; {
		p.mu.Lock()
		lines, more := p.lines[sent:], p.more
		p.mu.Unlock()
		fmt.Fprintln(out, strings.Join(lines, "\n"))
		sent += len(lines)
		out.(http.Flusher).Flush()
		select {
		case <-in.Context().Done():
			return
		case <-more:
		case <-beat.C:
		}
	}
}

// whole is the list as it stands.
func (p *returnRig) whole() string {
	var members []string
	for _, d := range p.dsts {
		d.mu.Lock()
		for i := range d.endpoints {
			members = append(members, d.member(i))
		}
		d.mu.Unlock()
	}
	return fmt.Sprintf(`{"revision":1,"complete":true,"members":[%s]}`, strings.Join(members, ","))
}

// join adds an endpoint to a destination, and tells all senders.
func (p *returnRig) join(d *returning) {
	d.addEndpoint(ownHost())
	d.mu.Lock()
	member := d.member(len(d.endpoints) - 1)
	d.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, len(p.lines)+2, member))
	close(p.more)
	p.more = make(chan struct{})
}
