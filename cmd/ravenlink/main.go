// Command ravenlink is one sender: it takes messages from clients and hands them on to receivers.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
