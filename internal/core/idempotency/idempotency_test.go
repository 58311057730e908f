package idempotency

import (
	"errors"
	"fmt"
	"testing"
)

func TestRepeatedCallRunsOnce(t *testing.T) {
	var c Cache
	if _, known, err := c.Begin(100, "a", "k", 1); known || err != nil {
		t.Fatal(known, err)
	}
	if _, _, err := c.Begin(100, "a", "k", 1); !errors.Is(err, ErrInProgress) {
		t.Errorf("repeated while the call is running: %v", err)
	}
	c.End("a", "k", Response{Status: 202, Body: []byte("x")}, true)
	if response, known, err := c.Begin(101, "a", "k", 1); !known || err != nil || response.Status != 202 {
		t.Errorf("repeated after the call: response %+v, known %t, %v", response, known, err)
	}
	if _, _, err := c.Begin(101, "a", "k", 2); !errors.Is(err, ErrKeyReused) {
		t.Errorf("a different call with the same key: %v", err)
	}
	if _, known, err := c.Begin(101, "b", "k", 2); known || err != nil {
		t.Errorf("the same key of another caller: %v", err)
	}
	c.End("b", "k", Response{Status: 409}, false)
	if _, known, err := c.Begin(102, "b", "k", 3); known || err != nil {
		t.Errorf("a rejected call cannot be made again: %v", err)
	}
	if _, known, _ := c.Begin(100+retention+1, "a", "k", 7); known {
		t.Error("the call is still stored after the retention time")
	}
}

func TestCacheIsBounded(t *testing.T) {
	var c Cache
	for i := range maxCalls + 5 {
		if _, known, err := c.Begin(200, "c", fmt.Sprint(i), 1); known || err != nil {
			t.Fatal(known, err)
		}
	}
	if len(c.calls) > maxCalls || len(c.order) > maxCalls {
		t.Errorf("the cache holds %d calls, more than the maximum", len(c.calls))
	}
}

func TestCheckVersion(t *testing.T) {
	for _, c := range []struct {
		condition string
		version   string
		want      error
	}{
		{"", "5", nil},
		{"*", "5", nil},
		{"5", "5", nil},
		{"4", "5", ErrVersionMismatch},
	} {
		if err := CheckVersion(c.condition, c.version); !errors.Is(err, c.want) {
			t.Errorf("condition %q, version %q: %v", c.condition, c.version, err)
		}
	}
}
