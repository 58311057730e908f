package resp

import (
	"bytes"
	"errors"
	"runtime"
	"strings"
	"testing"
)

var limits = Limits{Bytes: 1 << 20, Elements: 512}

// read feeds b to a Reader in fragments of the given size and returns the messages.
func read(b []byte, size int) (messages [][]string, err error) {
	var r Reader
	for len(b) > 0 {
		n := min(size, len(b))
		r.Feed(b[:n])
		b = b[n:]
		for {
			elements, ok, err := r.Next(nil, limits)
			if err != nil {
				return messages, err
			}
			if !ok {
				break
			}
			var message []string
			for _, element := range elements {
				message = append(message, string(element))
			}
			messages = append(messages, message)
		}
	}
	return messages, nil
}

func TestReadAppendedMessages(t *testing.T) {
	b := Append(Append(Append(nil, "hb"), "telemetry", "az", ""), "x", "\r\n$1\r\n", strings.Repeat("y", 5000))
	for size := range 40 {
		got, err := read(b, size+1)
		if err != nil || len(got) != 3 || got[1][2] != "" || got[2][1] != "\r\n$1\r\n" || len(got[2][2]) != 5000 {
			t.Fatalf("fragments of %d bytes: %d messages, error %v", size+1, len(got), err)
		}
	}
}

func TestMalformedInputIsRejectedImmediately(t *testing.T) {
	for input, want := range map[string]error{
		"GET /":              ErrFraming,
		"{":                  ErrFraming,
		"*x":                 ErrFraming,
		"*-1\r\n":            ErrFraming,
		"*1\n":               ErrFraming,
		"*1\r\n:":            ErrFraming,
		"*1\r\n$2\r\nabcd":   ErrFraming,
		"*1\r\n$-1\r\n":      ErrFraming,
		"*12345678901234":    ErrFraming,
		"*0\r\n":             ErrTooLong,
		"*513\r\n":           ErrTooLong,
		"*9999999999\r\n":    ErrTooLong,
		"*1\r\n$1048577\r\n": ErrTooLong,
	} {
		if _, err := read([]byte(input), 1); !errors.Is(err, want) {
			t.Errorf("%q: error %v, want %v", input, err, want)
		}
	}
}

func TestAnnouncedLengthAllocatesNothing(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 1000 {
		if _, err := read([]byte("*512\r\n$1000000\r\nx"), 100); err != nil {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	if after.TotalAlloc-before.TotalAlloc > 1<<20 {
		t.Errorf("%d bytes allocated, want at most 1 MiB", after.TotalAlloc-before.TotalAlloc)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(Append(nil, "upstream_stats", "az", "a"), 3)
	f.Add([]byte("*2\r\n$1\r\nx\r\n$0\r\n\r\n*"), 1)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		whole, err := read(b, len(b)+1)
		pieces, err2 := read(b, max(size%64, 1))
		if (err == nil) != (err2 == nil) || len(whole) != len(pieces) {
			t.Fatalf("%d messages, error %v in one fragment; %d messages, error %v in several", len(whole), err, len(pieces), err2)
		}
		var back []byte
		for _, m := range whole {
			back = Append(back, m...)
		}
		if again, err := read(back, 7); err != nil || len(again) != len(whole) || len(back) > 0 && !bytes.HasPrefix(back, []byte("*")) {
			t.Fatalf("after encoding the messages again, %d of %d were read: error %v", len(again), len(whole), err)
		}
	})
}
