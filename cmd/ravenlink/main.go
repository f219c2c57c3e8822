// Command ravenlink runs a sender, which accepts messages from clients and delivers them to receivers.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
