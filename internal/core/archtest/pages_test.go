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
	// reference is a path of the repository in backquotes, with the name of a function behind a colon if the page names one.
	reference = regexp.MustCompile("`((?:balancer|cmd|deploy|docs|internal)/[A-Za-z0-9_./-]*)(?::([A-Za-z]+))?`")
	// historical are pages that record what was there at their time.
	historical = regexp.MustCompile(`^docs/(incidents|experiments)/`)
)

// Pages lead readers to files and functions; a rename must not leave them behind.
func TestPagesNameWhatExists(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(projectRoot, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	pages = append(pages, filepath.Join(projectRoot, "README.md"), filepath.Join(projectRoot, "CONTRIBUTING.md"))
	seen := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range reference.FindAllStringSubmatch(string(text), -1) {
			seen++
			path := strings.TrimSuffix(match[1], "/...")
			if historical.MatchString(path) && strings.HasSuffix(path, "/") {
				continue
			}
			if problem := checkReference(path, match[2]); problem != "" {
				t.Errorf("%s: %s", filepath.Base(page), problem)
			}
		}
	}
	if seen < 100 {
		t.Errorf("only %d references were looked at", seen)
	}
}

// checkReference says what is wrong with a reference to a path and, unless it is empty, to a function in that file.
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
			t.Errorf("%v: %q, want %q", reference, got, want)
		}
	}
}
