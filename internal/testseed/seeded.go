// Package testseed runs the tests of a package with random runs that are the same every time.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// Main is for a package's TestMain. Flags given on the command line stand.
func Main(m *testing.M) {
	With(m, map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true", "rapid.checks": "100", "rapid.shrinktime": "5s"})
}

// With is Main with other values of the flags.
func With(m *testing.M, values map[string]string) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range values {
		if f := flag.Lookup(name); f != nil && !given[name] {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
