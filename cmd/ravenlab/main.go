// Command ravenlab is the laboratory: it plays scenarios in virtual time and compares what decides in them.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
