// Command simhost runs instances of the decision module for the simulator: it reads events from standard input and
// writes actions to standard output.
package main

import (
	"fmt"
	"os"

	"snowquay/internal/simwire"
)

func main() {
	if err := simwire.Host(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
