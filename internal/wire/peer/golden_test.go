package peer

import (
	"reflect"
	"testing"

	"snowquay/internal/golden"
)

func TestFrameOnTheWire(t *testing.T) {
	key := []byte("a key of the group")
	frame := Frame{From: 1, To: 2, DataDirID: 0x0102030405060708, Commit: 99, Kind: Command, Message: []byte(`{"kind":6}`)}
	golden.CheckAllFieldsSet(t, "frame", frame)
	golden.Bytes(t, "frame.bin", Append(nil, key, frame))
	text := golden.Read(t, "frame.bin")
	got, n, err := Next(text, key)
	if err != nil || n != len(text) || !reflect.DeepEqual(got, frame) {
		t.Errorf("decoded %+v, %d bytes, %v", got, n, err)
	}
}

// The values of Kind are part of the wire format.
func TestKindsOnTheWire(t *testing.T) {
	for i, kind := range []Kind{Consensus, Command, StatusRequest, StatusResponse, Rejection, Hello} {
		if kind != Kind(i+1) {
			t.Errorf("want kind %d, got %d", i+1, kind)
		}
	}
}
