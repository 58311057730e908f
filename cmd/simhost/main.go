// Simhost hosts instances of the decision module on standard input and output, for the bench.
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
