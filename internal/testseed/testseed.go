// Package testseed runs the tests of a package with the same random numbers every time.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// defaults are the flags of package rapid that every package has.
var defaults = map[string]string{
	"rapid.seed":       "7",
	"rapid.nofailfile": "true",
	"rapid.checks":     "100",
	"rapid.shrinktime": "5s",
}

// Main is the TestMain of a package: it sets the flags of package rapid and runs the tests. Flags that are given on the
// command line take precedence. It does not return.
func Main(m *testing.M) { MainWithFlags(m, defaults) }

// MainWithFlags is Main with other values of the flags. Flags that the package does not have are ignored.
func MainWithFlags(m *testing.M, values map[string]string) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range values {
		known := flag.Lookup(name)
		if known == nil || given[name] {
			continue
		}
		if err := known.Value.Set(value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
