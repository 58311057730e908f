package sasp

import (
	"net/netip"
	"reflect"
	"testing"

	"snowquay/internal/golden"
)

func TestEncodedPushMatchesGoldenFile(t *testing.T) {
	push := Message{Kind: SendWeights, ID: 7,
		Groups: []Group{{UID: []byte("relay-1"), Name: []byte("search"), From: 0, To: 2}, {UID: []byte("relay-1"), Name: []byte("book"), From: 2, To: 3}},
		Rows: []Row{
			{Address: AddressOf(netip.MustParseAddrPort("127.0.1.2:8080")), Label: []byte("zone=a"), Opaque: 1, Flags: Contact | Confident, Weight: 300},
			{Address: AddressOf(netip.MustParseAddrPort("127.0.1.3:8080")), Label: []byte(""), Flags: Contact | Quiesce},
			{Address: AddressOf(netip.MustParseAddrPort("127.0.1.2:8080")), Label: []byte("zone=a"), Opaque: 1, Flags: Contact, Weight: 65535}}}
	golden.Bytes(t, "push.bin", Append(nil, &push))
	var decoded Message
	if err := Decode(golden.Read(t, "push.bin"), &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded.Kind != push.Kind || decoded.ID != push.ID || !reflect.DeepEqual(decoded.Groups, push.Groups) || len(decoded.Rows) != len(push.Rows) {
		t.Errorf("decoded %+v, want the pushed message", decoded)
	}
	golden.Bytes(t, "push.bin", Append(nil, &decoded))
}
