package archtest

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// layers lists path prefixes of packages relative to the module's root, lowest layer first. A package belongs to the
// layer with its longest matching prefix, and may import packages only of its own layer and lower ones.
var layers = [][]string{
	{"internal/core/inflight", "internal/core/histogram", "internal/core/random", "internal/core/slidingwindow", "internal/core/waterfill"},
	{"balancer"},
	{"internal/wire"},
	{"internal/core"},
	{"internal/env", "internal/console"},
	{"internal/consensus", "internal/deployment", "internal/simwire"},
	{"internal/frontend", "internal/feed"},
	{"internal/coordinator", "internal/proxy", "internal/emulator"},
	{"internal/settings", "internal/store"},
	{"internal/service", "internal/platform"},
	{"internal/scenario"},
	{"internal/experiment"},
	{"internal/cli"},
	{"cmd"},
}

// layerOf returns the layer of a package. ok is false if the package belongs to no layer.
func layerOf(pkg string) (layer int, ok bool) {
	longest := 0
	for i, prefixes := range layers {
		for _, prefix := range prefixes {
			if (pkg == prefix || strings.HasPrefix(pkg, prefix+"/")) && len(prefix) > longest {
				longest = len(prefix)
				layer = i
			}
		}
	}
	return layer, longest > 0
}

func TestNoImportsOfHigherLayers(t *testing.T) {
	const module = "snowquay/"
	checked := 0
	for _, folder := range []string{"balancer", "cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(projectRoot, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			pkg, err := filepath.Rel(projectRoot, filepath.Dir(path))
			if err != nil {
				return err
			}
			importer, ok := layerOf(filepath.ToSlash(pkg))
			if !ok && !testSupport[pkg] {
				t.Errorf("%s belongs to no layer", pkg)
			}
			for _, spec := range file.Imports {
				imported, err := strconv.Unquote(spec.Path.Value)
				if err != nil {
					return err
				}
				if !strings.HasPrefix(imported, module) {
					continue
				}
				checked++
				layer, ok := layerOf(strings.TrimPrefix(imported, module))
				if !ok || layer > importer {
					t.Errorf("%s imports %s, which is in a higher layer or in none", pkg, imported)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if checked < 100 {
		t.Errorf("only %d imports were checked, want at least 100", checked)
	}
}

// testSupport lists the packages that only tests import, or that hold only tests. They need no layer.
var testSupport = map[string]bool{"internal/abusetest": true, "internal/golden": true, "internal/testaddress": true, "internal/testseed": true}

func TestLayerOf(t *testing.T) {
	waterfill, _ := layerOf("internal/core/waterfill")
	balancer, _ := layerOf("balancer")
	registry, _ := layerOf("internal/core/registry")
	if waterfill >= balancer || balancer >= registry {
		t.Errorf("layers %d, %d, %d of waterfill, balancer and registry, want ascending order", waterfill, balancer, registry)
	}
	if _, ok := layerOf("balancers"); ok {
		t.Error("balancers has a layer, though it only shares a prefix with balancer")
	}
}
