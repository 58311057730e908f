package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// What code that decides may import besides itself.
var allowed = []string{"bytes", "cmp", "container/heap", "encoding/binary", "errors", "fmt", "iter", "maps", "math",
	"math/bits", "net/netip", "slices", "strconv", "strings", "encoding/json", "github.com/fxamacker/cbor/v2", "github.com/cespare/xxhash/v2", "crypto/hmac", "crypto/sha256"}

func impurities(file *ast.File) (found []string) {
	for _, i := range file.Imports {
		path, _ := strconv.Unquote(i.Path.Value)
		own := path == "snowquay/balancer" || strings.HasPrefix(path, "snowquay/internal/core/") ||
			strings.HasPrefix(path, "snowquay/internal/wire/")
		if !own && !slices.Contains(allowed, path) {
			found = append(found, "imports "+path)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n.(type) {
		case *ast.GoStmt:
			found = append(found, "starts a goroutine")
		case *ast.SelectStmt, *ast.ChanType, *ast.SendStmt:
			found = append(found, "uses a channel")
		}
		return true
	})
	return found
}

func TestWhatDecidesIsPure(t *testing.T) {
	looked := 0
	for _, root := range []string{"../../../balancer", "..", "../../wire"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, text, 0)
			if err != nil {
				return err
			}
			looked++
			for _, what := range impurities(file) {
				t.Errorf("%s %s", path, what)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if looked < 10 {
		t.Errorf("only %d files were looked at", looked)
	}
}

func TestImpuritiesAreSeen(t *testing.T) {
	text := "package x\nimport \"time\"\nimport \"snowquay/internal/frontend/eventloop\"\nfunc f() { go f(); c := make(chan int); c <- 1 }"
	file, err := parser.ParseFile(token.NewFileSet(), "x.go", text, 0)
	if err != nil {
		t.Fatal(err)
	}
	if found := impurities(file); len(found) != 5 {
		t.Errorf("%q", found)
	}
}
