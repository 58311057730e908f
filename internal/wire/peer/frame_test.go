package peer

import (
	"bytes"
	"errors"
	"testing"
)

var key = []byte("the group's key")

func TestFramesAreDecoded(t *testing.T) {
	b := Append(nil, key, Frame{From: 1, To: 2, DataDirID: 7, Commit: 9, Kind: Command, Message: []byte("hello")})
	b = Append(b, key, Frame{From: 1, To: 3, Kind: StatusRequest})
	for i := range 60 {
		if _, n, err := Next(b[:i], key); n != 0 || err != nil {
			t.Fatalf("incomplete frame of %d bytes: length %d, %v", i, n, err)
		}
	}
	f, n, err := Next(b, key)
	if f.From != 1 || f.To != 2 || f.DataDirID != 7 || f.Commit != 9 || f.Kind != Command || string(f.Message) != "hello" || err != nil {
		t.Fatalf("first frame: %+v, %v", f, err)
	}
	if f, _, err = Next(b[n:], key); f.To != 3 || f.Kind != StatusRequest || len(f.Message) != 0 || err != nil {
		t.Errorf("second frame: %+v, %v", f, err)
	}
}

func TestForgedFramesAreRejected(t *testing.T) {
	good := Append(nil, key, Frame{From: 1, To: 2, DataDirID: 7, Commit: 9, Kind: Consensus, Message: []byte("hello")})
	for i := range good {
		b := bytes.Clone(good)
		b[i] ^= 1
		if _, n, err := Next(b, key); n > 0 || err == nil && i >= 8 {
			t.Errorf("byte %d changed: %d bytes consumed, %v", i, n, err)
		}
	}
	if _, _, err := Next(good, []byte("another key")); !errors.Is(err, ErrAuthentication) {
		t.Errorf("with another key: %v", err)
	}
	huge := bytes.Clone(good)
	huge[4] = 0xff
	if _, _, err := Next(huge, key); !errors.Is(err, ErrFrame) {
		t.Errorf("with a false length: %v", err)
	}
}

func FuzzNext(f *testing.F) {
	f.Add(Append(nil, key, Frame{From: 1, To: 2, DataDirID: 7, Commit: 9, Kind: Consensus, Message: []byte("hello")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if frame, n, err := Next(b, key); err == nil && n > 0 && !bytes.Equal(Append(nil, key, frame), b[:n]) {
			t.Errorf("%x differs after decoding and encoding", b[:n])
		}
	})
}
