// Command adapter runs the decision module for the bench, over standard input and output.
package main

import (
	"fmt"
	"os"

	"ravenlink/internal/simwire"
)

func main() {
	if err := simwire.Run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
