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

// Discovery and the platform of a return scenario.

// startPlatform starts a server that emulates discovery and the platform for all senders.
func (p *returnRig) startPlatform() {
	l, err := net.Listen("tcp", ownHost()+":0")
	require.NoError(p.t, err)
	p.platformAddr = l.Addr().String()
	p.platform = &http.Server{Handler: http.HandlerFunc(p.handlePlatform)}
	p.running.Go(func() { _ = p.platform.Serve(l) })
}

func (p *returnRig) handlePlatform(out http.ResponseWriter, in *http.Request) {
	if in.Method == http.MethodGet {
		p.streamList(out, in)
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
		p.recordEnd(n.ID)
		if n.State == "returned" {
			p.retryHandIn(n.ID, n.After)
		}
	}
	out.WriteHeader(http.StatusNoContent)
}

func (p *returnRig) streamList(out http.ResponseWriter, in *http.Request) {
	out.WriteHeader(http.StatusOK)
	heartbeat := time.NewTicker(listHeartbeat)
	defer heartbeat.Stop()
	for sent := 0; ; {
		p.mu.Lock()
		listUpdates, listChanged := p.listUpdates[sent:], p.listChanged
		p.mu.Unlock()
		fmt.Fprintln(out, strings.Join(listUpdates, "\n"))
		sent += len(listUpdates)
		out.(http.Flusher).Flush()
		select {
		case <-in.Context().Done():
			return
		case <-listChanged:
		case <-heartbeat.C:
		}
	}
}

// fullList is the current complete list.
func (p *returnRig) fullList() string {
	var members []string
	for _, d := range p.destinations {
		d.mu.Lock()
		for i := range d.endpoints {
			members = append(members, d.memberEntry(i))
		}
		d.mu.Unlock()
	}
	return fmt.Sprintf(`{"revision":1,"complete":true,"members":[%s]}`, strings.Join(members, ","))
}

// announceEndpoint adds an endpoint to a destination and announces it to all senders.
func (p *returnRig) announceEndpoint(d *returnDestination) {
	d.addEndpoint(ownHost())
	d.mu.Lock()
	memberEntry := d.memberEntry(len(d.endpoints) - 1)
	d.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listUpdates = append(p.listUpdates, fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, len(p.listUpdates)+2, memberEntry))
	close(p.listChanged)
	p.listChanged = make(chan struct{})
}
