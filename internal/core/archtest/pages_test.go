package archtest

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// reference matches a path of the repository in backquotes, optionally followed by a colon and a function's name.
	reference = regexp.MustCompile("`((?:balancer|cmd|deploy|docs|internal)/[A-Za-z0-9_./-]*)(?::([A-Za-z]+))?`")
	// historical matches folders of pages that describe the repository as it was when they were written.
	historical = regexp.MustCompile(`^docs/(incidents|experiments)/`)
)

// Files and functions that the documentation refers to exist: a rename must not leave references to old names.
func TestReferencesInPagesExist(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(projectRoot, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	pages = append(pages, filepath.Join(projectRoot, "README.md"), filepath.Join(projectRoot, "CONTRIBUTING.md"))
	checked := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range reference.FindAllStringSubmatch(string(text), -1) {
			checked++
			path := strings.TrimSuffix(match[1], "/...")
			if historical.MatchString(path) && strings.HasSuffix(path, "/") {
				continue
			}
			if problem := checkReference(path, match[2]); problem != "" {
				t.Errorf("%s: %s", filepath.Base(page), problem)
			}
		}
	}
	if checked < 100 {
		t.Errorf("only %d references were checked, want at least 100", checked)
	}
}

// checkReference describes what is wrong with a reference to a path or, if function is not empty, to a function in that
// file. It returns an empty string for a valid reference.
func checkReference(path, function string) string {
	text, err := os.ReadFile(filepath.Join(projectRoot, path))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return path + " does not exist"
	case function == "":
		return ""
	case err != nil:
		return err.Error()
	}
	declaration := regexp.MustCompile(`(?m)^func (\([^)]*\) )?` + function + `[\[(]`)
	if !declaration.Match(text) {
		return path + " has no function " + function
	}
	return ""
}

func TestCheckReference(t *testing.T) {
	for reference, want := range map[[2]string]string{
		{"balancer/balancer.go", "Reconcile"}: "",
		{"balancer", ""}:                      "",
		{"balancer/balancer.go", "Reconcil"}:  "balancer/balancer.go has no function Reconcil",
		{"balancer/none.go", ""}:              "balancer/none.go does not exist",
	} {
		if got := checkReference(reference[0], reference[1]); got != want {
			t.Errorf("checkReference(%v) = %q, want %q", reference, got, want)
		}
	}
}
