// Command ravenlab simulates scenarios in virtual time and compares delivery policies.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
