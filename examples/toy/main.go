// Command toy provides what is needed to try a sender: a receiver, discovery and the platform in one process,
// and a client.
//
//	toy serve [-status 200] [-wait 0.5]   the receiver of destination 7, discovery and the platform
//	toy hand-in [-at 127.0.0.1:6379] [-lane notice] [-n 1] TEXT   hands in TEXT for destination 7 as a client
//	toy links                             proxies the links between the senders of deploy/fleet-*.toml; cuts and restores them on command
package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	receiverAddr   = "127.0.0.1:8081"
	discoveryAddr  = "127.0.0.1:8500"
	senderAddr     = "127.0.0.1:6379"
	watchHeartbeat = 2 * time.Second
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if len(os.Args) < 2 {
		log.Fatal("toy serve | toy hand-in TEXT | toy links")
	}
	var err error
	switch os.Args[1] {
	case "serve":
		err = serve(os.Args[2:])
	case "hand-in":
		err = handIn(os.Args[2:])
	case "links":
		err = runLinks()
	default:
		err = fmt.Errorf("unknown command: %s", os.Args[1])
	}
	if err != nil {
		log.Fatal(err)
	}
}

func serve(args []string) error {
	flags := flag.NewFlagSet("serve", flag.ExitOnError)
	status := flags.Int("status", 200, "status with which the receiver replies to each call")
	wait := flags.String("wait", "", "Retry-After of the reply, in seconds")
	_ = flags.Parse(args)
	receiver := http.NewServeMux()
	receiver.HandleFunc("POST /events", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		log.Printf("receiver: message %s, %q (%v): %d", r.Header.Get("X-Txn"), body, err, *status)
		if *wait != "" {
			w.Header().Set("Retry-After", *wait)
		}
		w.WriteHeader(*status)
	})
	receiver.HandleFunc("GET /alive", func(w http.ResponseWriter, _ *http.Request) {
		log.Printf("receiver: probe")
		if *status != 200 {
			w.WriteHeader(503)
		}
	})
	platform := http.NewServeMux()
	platform.HandleFunc("GET /discovery/hosts", serveMembers)
	platform.HandleFunc("POST /v2/finals", func(w http.ResponseWriter, r *http.Request) {
		lines := bufio.NewScanner(r.Body)
		for lines.Scan() {
			log.Printf("platform: notice %s", lines.Text())
		}
		w.WriteHeader(204)
	})
	ended := make(chan error, 2)
	go func() { ended <- http.ListenAndServe(receiverAddr, receiver) }()
	go func() { ended <- http.ListenAndServe(discoveryAddr, platform) }()
	log.Printf("receiver at %s, discovery and platform at %s", receiverAddr, discoveryAddr)
	return <-ended
}

// serveMembers returns the list with the one receiver; for a watch it keeps the response open.
func serveMembers(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintf(w, `{"revision":2,"complete":true,"members":[{"id":"toy-1","host_port":"%s","locality":"here","flavor":"toy",`+
		`"cell":7,"phase":"SERVING","size":1,"up_since_ms":0}]}`+"\n", receiverAddr)
	for r.URL.Query().Get("watch") == "1" {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(watchHeartbeat):
			fmt.Fprintln(w)
		}
	}
}

func handIn(args []string) error {
	flags := flag.NewFlagSet("hand-in", flag.ExitOnError)
	class := flags.String("lane", "notice", "lane of the messages")
	n := flags.Int("n", 1, "how many messages")
	addr := flags.String("at", senderAddr, "the sender")
	_ = flags.Parse(args)
	c, err := net.Dial("tcp", *addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	answers := bufio.NewReader(c)
	for range *n {
		var id [16]byte
		if _, err := rand.Read(id[:]); err != nil {
			return err
		}
		msg, key := hex.EncodeToString(id[:8]), hex.EncodeToString(id[8:])
		parts := []string{"ENQUEUE", "0000000000000000", msg, "c=" + *class + ",d=8000,k=" + key + ",dest=7", strings.Join(flags.Args(), " ")}
		fmt.Fprintf(c, "*%d\r\n", len(parts))
		for _, p := range parts {
			fmt.Fprintf(c, "$%d\r\n%s\r\n", len(p), p)
		}
		answer, err := answers.ReadString('\n')
		if err != nil {
			return err
		}
		log.Printf("message %s: %s", msg, strings.TrimSpace(answer))
	}
	return nil
}
