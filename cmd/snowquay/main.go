// Command snowquay is a control service that assigns servers to proxies.
package main

import (
	"os"

	"snowquay/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
