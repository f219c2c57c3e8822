// Command ravenlink is one sender: it takes messages from clients and hands them on to receivers.
package main

import (
	"fmt"
	"os"

	"ravenlink/internal/daemon"
)

func main() {
	if err := daemon.Serve(os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, "ravenlink:", err)
		os.Exit(1)
	}
}
