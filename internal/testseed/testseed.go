// Package testseed runs the tests of a package with fixed random seeds, so that every run uses the same random numbers.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// defaultFlags are the values of package rapid's flags that most packages use.
var defaultFlags = map[string]string{
	"rapid.seed":       "7",
	"rapid.nofailfile": "true",
	"rapid.checks":     "100",
	"rapid.shrinktime": "5s",
}

// Main implements TestMain: it sets the flags of package rapid, runs the tests and exits. Flags given on the command
// line take precedence.
func Main(m *testing.M) { MainWithFlags(m, defaultFlags) }

// MainWithFlags is Main with the given flag values. Flags that the test binary does not define are ignored.
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
