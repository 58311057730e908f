package sasp

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
)

func testRow(i int) Row {
	return Row{Address: AddressOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)),
		Label: []byte("m"), Flags: Confident | Contact, Weight: uint16(i + 1)}
}

func pushMessage(n int) *Message {
	m := &Message{Kind: SendWeights, ID: 7}
	for i := range n {
		m.Rows = append(m.Rows, testRow(i))
	}
	m.Groups = []Group{{UID: []byte("relay-1"), Name: []byte("search"), To: n}}
	return m
}

// The expected bytes were assembled by hand from the layouts in docs/sasp.md, not by this encoder.
func TestEncodingMatchesKnownBytes(t *testing.T) {
	for text, m := range map[string]*Message{
		"2010000d010000001700000009" + "1050000a" + "03" + "6c6231" + "7f" + "e0": {Kind: SetBalancer, ID: 9,
			UID: []byte("lb1"), Health: 0x7f, Flags: Push | Trust | NoChange},
		"2010000d010000003e00000002" + "101000070100" + "01" + "401000060001" + "3011000a" + "026c62" + "0267" + "31" +
			"3010001a06" + "0050" + "00000000000000000000ffff0a000001" + "02" + "7331": {Kind: Registration, ID: 2, LB: 1,
			Groups: []Group{{UID: []byte("lb"), Name: []byte("g1"), To: 1}},
			Rows:   []Row{{Address: AddressOf(netip.MustParseAddrPort("10.0.0.1:80")), Label: []byte("s1")}}},
		"2010000d010000001200000003" + "1065000541": {Kind: SetMemberReply, ID: 3, Code: NotRegistered},
	} {
		want, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		if got := Append(nil, m); !bytes.Equal(got, want) {
			t.Errorf("kind %#x: %x, want %x", m.Kind, got, want)
		}
	}
}

func TestEveryKindRoundTrips(t *testing.T) {
	g := []Group{{UID: []byte("u"), Name: []byte("a"), To: 2}, {UID: []byte("u"), Name: []byte("b"), From: 2, To: 3}}
	for _, m := range []*Message{
		{Kind: Registration, LB: 1, Groups: g}, {Kind: Deregistration, Reason: 1, Groups: g},
		{Kind: GetWeightsReply, Code: OK, Interval: 5, Groups: g}, {Kind: SendWeights, Groups: g},
		{Kind: SetMember, LB: 1, Groups: g}, {Kind: GetWeights, Groups: []Group{{UID: []byte("u"), Name: []byte("a")}}},
		{Kind: SetBalancer, UID: []byte("x")}, {Kind: DeregistrationReply, Code: UnknownGroup},
	} {
		if len(m.Groups) == 2 {
			for i := range 3 {
				r := testRow(i)
				switch m.Kind {
				case Registration, Deregistration:
					r.Flags = 0
					r.Weight = 0
				case SetMember:
					r.Flags = Quiesce
					r.Weight = 0
					r.Opaque = 9
				}
				m.Rows = append(m.Rows, r)
			}
		}
		m.ID = 77
		b := Append([]byte("before"), m)[6:]
		for i := range b { // every incomplete prefix of the message
			if n, err := Frame(b[:i], MaxMessageBytes); n != 0 || err != nil {
				t.Fatalf("kind %#x: Frame of the first %d of %d bytes returns %d, %v", m.Kind, i, len(b), n, err)
			}
		}
		n, err := Frame(append(b, b...), MaxMessageBytes)
		if n != len(b) || err != nil {
			t.Fatalf("Frame returns %d for a message of %d bytes: %v", n, len(b), err)
		}
		var got Message
		if err := Decode(b, &got); err != nil {
			t.Fatalf("kind %#x: %v", m.Kind, err)
		}
		if len(got.Groups) == 0 {
			got.Groups = nil
		}
		if fmt.Sprint(got) != fmt.Sprint(*m) {
			t.Errorf("kind %#x was decoded as %v, want %v", m.Kind, got, *m)
		}
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	good := Append(nil, pushMessage(2))
	change := func(offset int, v ...byte) []byte { b := bytes.Clone(good); copy(b[offset:], v); return b }
	for name, c := range map[string]struct {
		b    []byte
		want error
		text string // part of the error text
	}{
		"other protocol":   {[]byte("GET / HTTP/1.1"), ErrFrame, "0x4745"},
		"version":          {change(4, 2), ErrFrame, "version 2"},
		"header length":    {change(3, 14), ErrFrame, "14 bytes"},
		"short message":    {change(5, 0, 0, 0, 3), ErrFrame, "3 bytes"},
		"large message":    {change(5, 255, 255, 255, 255), ErrTooLarge, "4294967295"},
		"unknown message":  {change(13, 0x77), ErrBody, "0x7740"},
		"component length": {change(16, 9), ErrBody, "declares a length of 9"},
		"65,535 groups":    {change(17, 255, 255), ErrBody, "missing"},
		"65,535 members":   {change(23, 255, 255), ErrBody, "missing"},
		"wrong component":  {change(19, 0x30), ErrBody, "0x3011, want 0x4011"},
		"long name":        {change(29, 255), ErrBody, "missing"},
	} {
		t.Run(name, func(t *testing.T) {
			n, err := Frame(c.b, MaxMessageBytes)
			if err == nil && n > 0 {
				err = Decode(c.b[:n], &Message{})
			}
			if !errors.Is(err, c.want) || !strings.Contains(fmt.Sprint(err), c.text) {
				t.Errorf("error %v, want %v with %q", err, c.want, c.text)
			}
		})
	}
}

func TestReusedBuffersAllocateNothing(t *testing.T) {
	m := pushMessage(300)
	into := &Message{}
	b := []byte(nil)
	run := func() {
		b = Append(b[:0], m)
		if err := Decode(b, into); err != nil {
			t.Fatal(err)
		}
	}
	run()
	if n := testing.AllocsPerRun(20, run); n != 0 {
		t.Errorf("%v allocations, want 0", n)
	}
}

// FuzzDecode checks that no input makes Frame or Decode panic, and that a message that decodes is encoded as the same
// bytes again.
func FuzzDecode(f *testing.F) {
	f.Add(Append(nil, pushMessage(2)))
	f.Add(Append(nil, &Message{Kind: SetBalancer, UID: []byte("x"), Flags: Push}))
	f.Add(Append(nil, &Message{Kind: GetWeightsReply, Code: UnknownGroup}))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := Frame(b, MaxMessageBytes)
		var m Message
		if err != nil || n == 0 || Decode(b[:n], &m) != nil {
			return
		}
		var again Message
		if out := Append(nil, &m); !bytes.Equal(out, b[:n]) {
			t.Errorf("%x was encoded as %x", b[:n], out)
		} else if Decode(out, &again) != nil || !reflect.DeepEqual(m, again) {
			t.Errorf("%v was decoded as %v after encoding", m, again)
		}
	})
}

func BenchmarkAppend300(b *testing.B) {
	m := pushMessage(300)
	out := []byte(nil)
	b.ReportAllocs()
	for b.Loop() {
		out = Append(out[:0], m)
	}
	b.SetBytes(int64(len(out)))
}

func BenchmarkDecode300(b *testing.B) {
	in := Append(nil, pushMessage(300))
	m := &Message{}
	b.ReportAllocs()
	b.SetBytes(int64(len(in)))
	for b.Loop() {
		if err := Decode(in, m); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCopy300 copies the same bytes, as a baseline for BenchmarkAppend300 and BenchmarkDecode300.
func BenchmarkCopy300(b *testing.B) {
	in := Append(nil, pushMessage(300))
	out := make([]byte, len(in))
	b.SetBytes(int64(len(in)))
	for b.Loop() {
		copy(out, in)
	}
}
