// Command simhost hosts instances of the decision module for the simulator, on standard input and output.
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
