package admin

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
)

// The OpenAPI description contains exactly the calls that are served.
func TestRoutesMatchOpenAPI(t *testing.T) {
	doc, err := openapi3.NewLoader().LoadFromData(OpenAPI)
	if err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(t.Context()); err != nil {
		t.Fatal(err)
	}
	served := map[string]bool{}
	for _, file := range []string{"admin.go", "hosted.go"} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`HandleFunc\("([A-Z]+) "\+path\+"([^"]+)"`).FindAllStringSubmatch(string(text), -1) {
			served[m[1]+" /v1"+m[2]], served[m[1]+" /v1/tenants/{tenant}"+m[2]] = true, true
		}
		for _, m := range regexp.MustCompile(`HandleFunc\("([A-Z]+ /v1[^"]*)"`).FindAllStringSubmatch(string(text), -1) {
			served[m[1]] = true
		}
	}
	if len(served) < 20 {
		t.Fatalf("found %d calls in the source, want at least 20", len(served))
	}
	described := map[string]bool{}
	for path, item := range doc.Paths.Map() {
		for method := range item.Operations() {
			described[method+" "+path] = true
		}
	}
	for call := range served {
		if !described[call] {
			t.Errorf("%s is served but not described", call)
		}
	}
	for call := range described {
		if !served[call] && !strings.Contains(call, "openapi") {
			t.Errorf("%s is described but not served", call)
		}
	}
}
