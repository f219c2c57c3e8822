package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is one receiver as discovery lists it.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int64   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	Up       int64   `json:"up_since_ms"`
}

type list struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

type notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMs int64  `json:"after_ms"`
	at      time.Time
}

// agent is discovery and platform, as a sound one is: it tells the changes after a revision that it still knows, else the whole list.
type agent struct {
	rig  *rig
	addr string

	mu       sync.Mutex
	revision int64
	whole    map[string]member // by id, those listed
	changes  []list
	changed  chan struct{} // closed at each change
	down     bool          // discovery is silent; notices are answered all the same
	notices  map[string][]notice
	onEnd    func(n notice)
	http     *http.Server
}

func (r *rig) newAgent(members ...member) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{rig: r, addr: l.Addr().String(), revision: 1, whole: map[string]member{}, changed: make(chan struct{}), notices: map[string][]notice{}}
	for _, m := range members {
		a.whole[m.ID] = m
	}
	a.serve(l)
	return a, nil
}

func (a *agent) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", a.list)
	mux.HandleFunc("POST /v2/finals", a.finals)
	s := &http.Server{Handler: mux}
	a.http = s
	go func() { _ = s.Serve(l) }()
}

// move has it listen on another address. The old one accepts nothing more and closes what is open after 1.5 s.
func (a *agent) move() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	old := a.http
	a.addr = l.Addr().String()
	a.serve(l)
	go func() {
		time.AfterFunc(1500*time.Millisecond, func() { _ = old.Close() })
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		defer cancel()
		_ = old.Shutdown(ctx) // closes the listener at once
	}()
	return nil
}

// change tells entries: listed ones, or such that are gone.
func (a *agent) change(entries ...member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision++
	for _, m := range entries {
		a.rig.note("list    revision %d: %s %s at %s, cell %d", a.revision, m.ID, m.Phase, m.HostPort, m.Cell)
		if m.Phase == "DELETED" {
			delete(a.whole, m.ID)
		} else {
			a.whole[m.ID] = m
		}
	}
	a.changes = append(a.changes, list{Revision: a.revision, Members: entries})
	close(a.changed)
	a.changed = make(chan struct{})
}

// goDown has discovery fall silent, or be back.
func (a *agent) goDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rig.note("discovery is down: %v", down)
	a.down = down
	close(a.changed)
	a.changed = make(chan struct{})
}

// full is the whole list. The lock is held.
func (a *agent) full() list {
	l := list{Revision: a.revision, Complete: true, Members: []member{}}
	for _, m := range a.whole {
		l.Members = append(l.Members, m)
	}
	return l
}

// after is what a watch from a revision is told first. The lock is held.
func (a *agent) after(from int64) list {
	if from < 1 || from > a.revision {
		return a.full()
	}
	l := list{Revision: a.revision, Members: []member{}}
	for _, c := range a.changes {
		if c.Revision > from {
			l.Members = append(l.Members, c.Members...)
		}
	}
	return l
}

func (a *agent) list(w http.ResponseWriter, r *http.Request) {
	if !a.waitUp(r) {
		return
	}
	if r.URL.Query().Get("watch") != "1" {
		a.mu.Lock()
		l := a.full()
		a.mu.Unlock()
		_ = json.NewEncoder(w).Encode(l)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	first := true
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		a.mu.Lock()
		down, changed, l := a.down, a.changed, a.after(from)
		a.mu.Unlock()
		if !down && (first || len(l.Members) > 0) {
			if json.NewEncoder(w).Encode(l) != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			a.rig.note("told    revision %d, after %d, whole %v, %d entries", l.Revision, from, l.Complete, len(l.Members))
			from, first = l.Revision, false
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-beat.C:
			if a.isDown() {
				continue
			}
			if _, err := w.Write([]byte("\n")); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
		}
	}
}

func (a *agent) isDown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.down
}

// waitUp is silent as long as discovery is down.
func (a *agent) waitUp(r *http.Request) bool {
	for {
		a.mu.Lock()
		down, changed := a.down, a.changed
		a.mu.Unlock()
		if !down {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (a *agent) finals(w http.ResponseWriter, r *http.Request) {
	var all []notice
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		n := notice{at: time.Now()}
		if json.Unmarshal(lines.Bytes(), &n) != nil || n.ID == "" || n.State != "failed" && n.State != "returned" {
			w.WriteHeader(400)
			return
		}
		all = append(all, n)
	}
	for _, n := range all {
		a.rig.note("notice  %s %s after_ms=%d", n.ID, n.State, n.AfterMs)
		a.mu.Lock()
		a.notices[n.ID] = append(a.notices[n.ID], n)
		a.mu.Unlock()
		if a.onEnd != nil {
			a.onEnd(n)
		}
	}
	w.WriteHeader(204)
}

// ended gives the first notice of a message.
func (a *agent) ended(id string) (n notice, is bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ns := a.notices[id]; len(ns) > 0 {
		return ns[0], true
	}
	return n, false
}

func serving(id, at string, cell int64) member {
	return member{ID: id, HostPort: at, Locality: "here", Flavor: "partner", Cell: cell, Phase: "SERVING", Size: 1}
}

func gone(m member) member {
	m.Phase = "DELETED"
	return m
}

// knownOf is a list as the start file has it.
func knownOf(revision int64, ms ...member) map[string]any {
	return map[string]any{"revision": revision, "complete": true, "members": ms}
}

// lane is one class of the settings.
func lane(name, repeat string, deadline time.Duration) map[string]any {
	l := map[string]any{"name": name, "aim": 2000, "deadline": deadline.Milliseconds(), "group": "all", "importance": 1,
		"late_worth": 0.5, "repeat": repeat, "stream": false}
	if repeat == "by_key" {
		l["window"] = 15000
	}
	return l
}

// startFile is that of a small deployment, with the figures of the example.
func startFile(known map[string]any, lanes ...map[string]any) map[string]any {
	return map[string]any{
		"seed":   fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":  known,
		"settings": map[string]any{
			"balancers": 2, "me": 0, "zone": 0, "zones": []string{"here"}, "machine_types": []string{"partner"},
			"discovery": "automatic", "weight_source": "off", "classes": lanes,
			"family_info": map[string]any{"max_calls": 20, "own_limits": []bool{false}, "batch_by_kind": []int{1}, "late": "halves"},
			"limits": map[string]any{"most_held": 200, "send_cap": 6, "probes": true, "cancel": true, "retry_after": true, "peers": false,
				"max_retry_after": 2000, "connect_timeout": 1000, "conn_idle": 5000, "second_copies": false},
			"report": map[string]any{"how": "off", "names": []string{}},
			"rules": map[string]any{"start_capacity": 0.2, "warm_within": 10000, "overload_factor": 2, "fall": 2000,
				"stop_sending_within": 1000, "grace_to_answer": 20, "ask_within": 10000},
		},
	}
}
