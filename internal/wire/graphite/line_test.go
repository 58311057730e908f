package graphite

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestAppendAndParse(t *testing.T) {
	for _, c := range []struct {
		value float64
		at    float64
		want  string
	}{
		{3, 1000.9, "a.b 3 1000\n"},
		{0.25, 1, "a.b 0.25 1\n"},
		{-1e20, 2, "a.b -1e+20 2\n"},
		{1.0 / 3, 3, "a.b 0.3333333333 3\n"},
	} {
		got := string(Append(nil, "a.b", c.value, c.at))
		if got != c.want {
			t.Errorf("Append returns %q, want %q", got, c.want)
		}
		line, err := Parse([]byte(strings.TrimSuffix(got, "\n")))
		if err != nil {
			t.Errorf("Parse of %q fails: %v", got, err)
		}
		isClose := math.Abs(line.Value-c.value) <= 1e-9*math.Abs(c.value)
		if line.Path != "a.b" || !isClose || line.At != int64(math.Floor(c.at)) {
			t.Errorf("Parse of %q returns %+v", got, line)
		}
	}
}

func TestPathElement(t *testing.T) {
	for text, want := range map[string]string{
		"10.0.0.1:80": "10_0_0_1_80",
		"":            "_",
		"a b\n":       "a_b_",
		"[::1]:80":    "___1__80",
		"ü":           "__",
		"ok-1_x":      "ok-1_x",
	} {
		if got := PathElement(text); got != want {
			t.Errorf("PathElement of %q is %q, want %q", text, got, want)
		}
	}
}

func TestParseRejectsInvalidLines(t *testing.T) {
	tooLong := "a 1 " + strings.Repeat("9", 5000)
	for _, line := range []string{"", "a", "a 1", "a 1 2 3", "a x 1", "a NaN 1", "a Inf 1", "a 1 1.5", tooLong} {
		if _, err := Parse([]byte(line)); !errors.Is(err, ErrInvalidLine) {
			t.Errorf("invalid line %q is accepted", line)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("a.b 3 1000")
	f.Fuzz(func(t *testing.T, line string) {
		if l, err := Parse([]byte(line)); err == nil && (l.Path == "" || math.IsNaN(l.Value)) {
			t.Errorf("Parse of %q returns %+v, which has an empty path or an invalid value", line, l)
		}
	})
}
