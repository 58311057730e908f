package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// pureRoots lists the folders whose packages must be pure: they make decisions, and must be deterministic.
var pureRoots = []string{"../../../balancer", "..", "../../wire"}

// allowedImports lists the packages that pure packages may import besides each other.
var allowedImports = []string{
	"bytes",
	"cmp",
	"container/heap",
	"crypto/hmac",
	"crypto/sha256",
	"encoding/binary",
	"encoding/json",
	"errors",
	"fmt",
	"iter",
	"maps",
	"math",
	"math/bits",
	"net/netip",
	"slices",
	"strconv",
	"strings",
	"github.com/cespare/xxhash/v2",
	"github.com/fxamacker/cbor/v2",
}

// isPure reports whether a package belongs to the project's pure packages.
func isPure(path string) bool {
	return path == "snowquay/balancer" || strings.HasPrefix(path, "snowquay/internal/core/") ||
		strings.HasPrefix(path, "snowquay/internal/wire/")
}

// impurities describes the imports and operations of a file that are not allowed in pure packages.
func impurities(file *ast.File) []string {
	var found []string
	for _, imported := range file.Imports {
		path, _ := strconv.Unquote(imported.Path.Value) // the parser has validated the literal
		if !isPure(path) && !slices.Contains(allowedImports, path) {
			found = append(found, "imports "+path)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node.(type) {
		case *ast.GoStmt:
			found = append(found, "starts a goroutine")
		case *ast.SelectStmt, *ast.ChanType, *ast.SendStmt:
			found = append(found, "uses a channel")
		}
		return true
	})
	return found
}

func TestDecisionPackagesArePure(t *testing.T) {
	files := 0
	for _, root := range pureRoots {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			files++
			for _, impurity := range impurities(file) {
				t.Errorf("%s %s", path, impurity)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if files < 10 {
		t.Errorf("only %d files were checked, want at least 10", files)
	}
}

func TestImpuritiesAreFound(t *testing.T) {
	const source = `package x
import "time"
import "snowquay/internal/frontend/eventloop"
func f() { go f(); c := make(chan int); c <- 1 }`
	file, err := parser.ParseFile(token.NewFileSet(), "x.go", source, 0)
	if err != nil {
		t.Fatal(err)
	}
	if found := impurities(file); len(found) != 5 {
		t.Errorf("impurities %q, want 5", found)
	}
}
