package peer

import (
	"bytes"
	"errors"
	"testing"
)

var key = []byte("the group's key")

func TestFramesComeBack(t *testing.T) {
	b := Append(Append([]byte{}, key, 1, 2, []byte("hello")), key, 1, 3, nil)
	for i := range 60 {
		if _, _, _, n, err := Next(b[:i], key); n != 0 || err != nil {
			t.Fatalf("%d bytes: %d, %v", i, n, err)
		}
	}
	from, to, m, n, err := Next(b, key)
	if from != 1 || to != 2 || string(m) != "hello" || err != nil {
		t.Fatalf("%d %d %q %v", from, to, m, err)
	}
	if _, to, m, _, err = Next(b[n:], key); to != 3 || len(m) != 0 || err != nil {
		t.Errorf("%d %q %v", to, m, err)
	}
}

func TestForgedFramesAreRefused(t *testing.T) {
	good := Append(nil, key, 1, 2, []byte("hello"))
	for i := range good {
		b := bytes.Clone(good)
		b[i] ^= 1
		if _, _, _, n, err := Next(b, key); n > 0 || err == nil && i >= 8 {
			t.Errorf("byte %d changed: %d bytes taken, %v", i, n, err)
		}
	}
	if _, _, _, _, err := Next(good, []byte("another key")); !errors.Is(err, ErrCode) {
		t.Errorf("another key: %v", err)
	}
	huge := bytes.Clone(good)
	huge[4] = 0xff
	if _, _, _, _, err := Next(huge, key); !errors.Is(err, ErrFrame) {
		t.Errorf("a lying length: %v", err)
	}
}

func FuzzNext(f *testing.F) {
	f.Add(Append(nil, key, 1, 2, []byte("hello")))
	f.Fuzz(func(t *testing.T, b []byte) {
		if from, to, m, n, err := Next(b, key); err == nil && n > 0 && !bytes.Equal(Append(nil, key, from, to, m), b[:n]) {
			t.Errorf("%x came back otherwise", b[:n])
		}
	})
}
