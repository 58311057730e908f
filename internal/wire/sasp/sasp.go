// Package sasp reads and writes the messages of the Server/Application State Protocol, version 1 (RFC 4678).
// It is pure: bytes in, structures out, and back. docs/sasp.md tells which figures could not be verified.
//
// Every message is a header (RFC 4678, section 4.1) followed by one message component, which is followed by the
// components that it counts. All numbers are in network byte order. Every component starts with its type and its own
// length, nested components not included.
package sasp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// Port is the TCP port that IANA has assigned.
const Port = 3860

// Sizes and limits of messages.
const (
	HeaderSize      = 13      // bytes of the header component
	MaxMessageBytes = 1 << 20 // bytes of a message that is taken at most; 30,000 rows fit
	MaxTextBytes    = 255     // bytes of a UID, a group name or a label: their length is one byte
	MaxMembers      = 65535   // of one group in one message: their count is two bytes
	version         = 1
	memberSize      = 24 // of member data, without its label
	groupDataSize   = 6  // of group data, without UID and name
)

// Kind is the type of a message component.
type Kind uint16

// The message components (RFC 4678, section 4).
const (
	Registration        Kind = 0x1010
	RegistrationReply   Kind = 0x1015
	Deregistration      Kind = 0x1020
	DeregistrationReply Kind = 0x1025
	GetWeights          Kind = 0x1030
	GetWeightsReply     Kind = 0x1035
	SendWeights         Kind = 0x1040
	SetBalancer         Kind = 0x1050
	SetBalancerReply    Kind = 0x1055
	SetMember           Kind = 0x1060
	SetMemberReply      Kind = 0x1065
)

const (
	header       = 0x2010
	memberData   = 0x3010
	groupData    = 0x3011
	weightEntry  = 0x3012
	memberState  = 0x3013
	memberGroup  = 0x4010
	weightGroup  = 0x4011
	memberStates = 0x4012
)

// Code is a response code (RFC 4678, section 5; each reply has its own list there).
type Code uint8

// The response codes.
const (
	OK                 Code = 0x00
	NotUnderstood      Code = 0x10 // the message cannot be read
	NotAccepted        Code = 0x11 // not from this sender
	AlreadyRegistered  Code = 0x40
	NotRegistered      Code = 0x41
	UnknownGroup       Code = 0x42
	UnknownBalancer    Code = 0x43
	DuplicateMember    Code = 0x44 // twice in one message
	InvalidGroup       Code = 0x45
	DuplicateGroup     Code = 0x46
	InvalidGroupName   Code = 0x50 // of no bytes
	InvalidBalancer    Code = 0x51 // its UID has no bytes
	BalancerNotArrived Code = 0x61 // a member speaks of a balancer that has not yet spoken
)

func (c Code) String() string {
	names := map[Code]string{OK: "successful", NotUnderstood: "message not understood",
		NotAccepted: "not accepted from this sender", AlreadyRegistered: "member already registered",
		NotRegistered: "member not registered", UnknownGroup: "unknown group", UnknownBalancer: "unknown balancer",
		DuplicateMember: "member twice in one message", InvalidGroup: "invalid group",
		DuplicateGroup: "group twice in one message", InvalidGroupName: "group name of no bytes",
		InvalidBalancer: "balancer UID of no bytes", BalancerNotArrived: "the balancer has not yet spoken"}
	if n, ok := names[c]; ok {
		return n
	}
	return fmt.Sprintf("code %#x", uint8(c))
}

// Bits of the flags, first bit of the RFC's diagrams first.
const (
	Push         = 0x80 // balancer: wants weights sent without asking
	Trust        = 0x40 // balancer: members may register and quiesce themselves
	NoChange     = 0x20 // balancer: unchanged members may be left out of sent weights
	Contact      = 0x80 // entry: the member could be reached
	Quiesce      = 0x40 // entry: no new work
	ByBalancer   = 0x20 // entry: the balancer registered the member, not the member itself
	Confident    = 0x10 // entry: the weight is measured, not only configured
	FromBalancer = 1    // of the LB flag: a balancer speaks, not the member
)

// Address tells members apart: protocol, port and address, IPv4 mapped into IPv6 (RFC 4678, section 4.3).
type Address struct {
	Protocol uint8
	Port     uint16
	IP       [16]byte
}

// AddressOf is the TCP address of a member.
func AddressOf(a netip.AddrPort) Address {
	return Address{Protocol: 6, Port: a.Port(), IP: a.Addr().As16()}
}

// AddrPort is the address without its protocol, IPv4 unmapped.
func (a Address) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(a.IP).Unmap(), a.Port)
}

// Row is a member of a group, with the weight entry or the state that the message has for it.
type Row struct {
	Address
	Label  []byte
	Opaque uint8  // state that is handed through
	Flags  uint8  // Contact, Quiesce, ByBalancer, Confident; of a state only Quiesce
	Weight uint16 // 0: no new work
}

// Group is named by the balancer's UID and its own name. Its rows are Message.Rows[From:To].
type Group struct {
	UID, Name []byte
	From, To  int
}

// Message is any message; each kind uses some of the fields. Byte slices point into what was decoded. A Message
// may be decoded into again and again; it then allocates nothing once it is large enough.
type Message struct {
	Kind     Kind
	ID       uint32
	Code     Code
	LB       uint8  // FromBalancer or 0
	Reason   uint8  // of a deregistration
	Interval uint16 // seconds between two asks for weights
	UID      []byte // of SetBalancer
	Health   uint8
	Flags    uint8 // Push, Trust, NoChange
	Groups   []Group
	Rows     []Row
}

// Errors of reading a message.
var (
	ErrFrame    = errors.New("not a SASP message") // the stream can't be followed any further
	ErrTooLarge = errors.New("SASP message over the limit")
	ErrBody     = errors.New("SASP message not understood") // the next message can still be read
)

// Frame is the length of the first message in b, or 0 where more bytes are needed to tell or to hold it. An error
// (ErrFrame, ErrTooLarge) is final for the stream. Guards against lying lengths: a message that cannot fit is
// refused by its header, before anything is kept for it.
func Frame(b []byte, most int) (int, error) {
	if len(b) >= 2 && binary.BigEndian.Uint16(b) != header {
		return 0, fmt.Errorf("%w: it starts with component %#04x", ErrFrame, binary.BigEndian.Uint16(b))
	}
	if len(b) >= 4 && binary.BigEndian.Uint16(b[2:]) != HeaderSize {
		return 0, fmt.Errorf("%w: a header of %d bytes", ErrFrame, binary.BigEndian.Uint16(b[2:]))
	}
	if len(b) >= 5 && b[4] != version {
		return 0, fmt.Errorf("%w: version %d", ErrFrame, b[4])
	}
	if len(b) < HeaderSize {
		return 0, nil
	}
	n := binary.BigEndian.Uint32(b[5:])
	if n < HeaderSize+4 {
		return 0, fmt.Errorf("%w: a message of %d bytes", ErrFrame, n)
	}
	if uint64(n) > uint64(most) {
		return 0, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, n, most)
	}
	if uint64(len(b)) < uint64(n) {
		return 0, nil
	}
	return int(n), nil
}

// Head tells kind and id of a framed message, also of one that cannot be decoded.
func Head(frame []byte) (Kind, uint32) {
	return Kind(binary.BigEndian.Uint16(frame[HeaderSize:])), binary.BigEndian.Uint32(frame[9:])
}

// ReplyTo is the kind of reply to a kind of message; 0 where there is none.
func ReplyTo(k Kind) Kind {
	switch k {
	case Registration, Deregistration, GetWeights, SetBalancer, SetMember:
		return k + 5
	}
	return 0
}

type reader struct {
	b   []byte
	at  int
	err error
}

func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: byte %d: %s", ErrBody, r.at, fmt.Sprintf(format, args...))
	}
}

func (r *reader) take(n int) []byte {
	if r.err != nil {
		return nil
	}
	if len(r.b)-r.at < n {
		r.fail("%d bytes are missing", n-(len(r.b)-r.at))
		return nil
	}
	r.at += n
	return r.b[r.at-n : r.at]
}

func (r *reader) u8() uint8 {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) text() []byte { return r.take(int(r.u8())) }

// open starts a component of a type; its own length must be what its fields take, or close fails.
func (r *reader) open(want uint16) (start, size int) {
	start = r.at
	if kind := r.u16(); r.err == nil && kind != want {
		r.fail("component %#04x where %#04x belongs", kind, want)
	}
	return start, int(r.u16())
}

func (r *reader) close(start, size int) {
	if r.err == nil && r.at-start != size {
		r.fail("a component of %d bytes says that it has %d", r.at-start, size)
	}
}

// Decode reads a framed message into m. The error is ErrBody, with the byte and the reason; m is then half filled
// and must not be used.
func Decode(frame []byte, m *Message) error {
	kind, id := Head(frame)
	*m = Message{Kind: kind, ID: id, Groups: m.Groups[:0], Rows: m.Rows[:0]}
	r := reader{b: frame, at: HeaderSize}
	start, size := r.open(uint16(kind))
	groups, with := 0, uint16(0)
	switch kind {
	case Registration:
		m.LB, groups, with = r.u8(), int(r.u16()), memberGroup
	case Deregistration:
		m.LB, m.Reason, groups, with = r.u8(), r.u8(), int(r.u16()), memberGroup
	case RegistrationReply, DeregistrationReply, SetBalancerReply, SetMemberReply:
		m.Code = Code(r.u8())
	case GetWeights:
		groups, with = int(r.u16()), groupData
	case GetWeightsReply:
		m.Code, m.Interval, groups, with = Code(r.u8()), r.u16(), int(r.u16()), weightGroup
	case SendWeights:
		groups, with = int(r.u16()), weightGroup
	case SetBalancer:
		m.UID, m.Health, m.Flags = r.text(), r.u8(), r.u8()
	case SetMember:
		m.LB, groups, with = r.u8(), int(r.u16()), memberStates
	default:
		r.fail("unknown message %#04x", uint16(kind))
	}
	r.close(start, size)
	for range groups { // a count with nothing behind it ends at the first missing byte
		if r.err != nil {
			break
		}
		r.group(m, with)
	}
	if r.err == nil && r.at != len(frame) {
		r.fail("%d bytes too many", len(frame)-r.at)
	}
	return r.err
}

func (r *reader) group(m *Message, with uint16) {
	members := 0
	if with != groupData {
		start, size := r.open(with)
		members = int(r.u16())
		r.close(start, size)
	}
	g := Group{From: len(m.Rows)}
	start, size := r.open(groupData)
	g.UID, g.Name = r.text(), r.text()
	r.close(start, size)
	for range members {
		if r.err != nil {
			return
		}
		var row Row
		start, size := r.open(memberData)
		row.Protocol, row.Port = r.u8(), r.u16()
		copy(row.IP[:], r.take(16))
		row.Label = r.text()
		r.close(start, size)
		switch with {
		case weightGroup:
			start, size := r.open(weightEntry)
			row.Opaque, row.Flags, row.Weight = r.u8(), r.u8(), r.u16()
			r.close(start, size)
		case memberStates:
			start, size := r.open(memberState)
			row.Opaque = r.u8()
			if row.Flags = r.u8(); row.Flags > 1 {
				r.fail("a quiesce flag of %d", row.Flags)
			}
			row.Flags *= Quiesce
			r.close(start, size)
		}
		m.Rows = append(m.Rows, row)
	}
	if g.To = len(m.Rows); r.err == nil {
		m.Groups = append(m.Groups, g)
	}
}

// Append writes a message behind b and returns the longer slice. Texts over MostText bytes and counts over
// MostMembers are cut short by the caller, never here: Append panics on them, since the bytes would lie.
func Append(b []byte, m *Message) []byte {
	at := len(b)
	b = append(b, 0x20, 0x10, 0, HeaderSize, version, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, m.ID)
	open := len(b)
	b = append(b, byte(m.Kind>>8), byte(m.Kind), 0, 0)
	with := uint16(0)
	switch m.Kind {
	case Registration:
		b, with = append(b, m.LB), memberGroup
	case Deregistration:
		b, with = append(b, m.LB, m.Reason), memberGroup
	case GetWeights:
		with = groupData
	case GetWeightsReply:
		b, with = append(b, byte(m.Code), byte(m.Interval>>8), byte(m.Interval)), weightGroup
	case SendWeights:
		with = weightGroup
	case SetBalancer:
		b = append(appendText(b, m.UID), m.Health, m.Flags)
	case SetMember:
		b, with = append(b, m.LB), memberStates
	default:
		b = append(b, byte(m.Code))
	}
	if with != 0 {
		b = appendCount(b, len(m.Groups))
	}
	binary.BigEndian.PutUint16(b[open+2:], uint16(len(b)-open))
	for _, g := range m.Groups {
		if with != groupData {
			b = appendCount(append(b, byte(with>>8), byte(with), 0, 6), g.To-g.From)
		}
		size := groupDataSize + len(g.UID) + len(g.Name)
		b = append(b, groupData>>8, groupData&0xff, byte(size>>8), byte(size))
		b = appendText(appendText(b, g.UID), g.Name)
		for i := range m.Rows[g.From:g.To] {
			b = appendRow(b, &m.Rows[g.From+i], with)
		}
	}
	binary.BigEndian.PutUint32(b[at+5:], uint32(len(b)-at))
	return b
}

func appendRow(b []byte, r *Row, with uint16) []byte {
	size := memberSize + len(r.Label)
	b = append(b, memberData>>8, memberData&0xff, byte(size>>8), byte(size), r.Protocol, byte(r.Port>>8), byte(r.Port))
	b = appendText(append(b, r.IP[:]...), r.Label)
	switch with {
	case weightGroup:
		b = append(b, weightEntry>>8, weightEntry&0xff, 0, 8, r.Opaque, r.Flags, byte(r.Weight>>8), byte(r.Weight))
	case memberStates:
		b = append(b, memberState>>8, memberState&0xff, 0, 6, r.Opaque, r.Flags&Quiesce/Quiesce)
	}
	return b
}

func appendText(b, text []byte) []byte {
	if len(text) > MaxTextBytes {
		panic(fmt.Sprintf("sasp: a text of %d bytes", len(text)))
	}
	return append(append(b, byte(len(text))), text...)
}

func appendCount(b []byte, n int) []byte {
	if n > MaxMembers {
		panic(fmt.Sprintf("sasp: a count of %d", n))
	}
	return append(b, byte(n>>8), byte(n))
}

// ParseIdentity is the UID that the first message of a connection names: the balancer's own, or that of the first group it is about. need
// says that more bytes are needed; an error, that the message names nobody or is none.
func ParseIdentity(b []byte, most int) (uid string, need bool, err error) {
	n, err := Frame(b, most)
	if err != nil || n == 0 {
		return "", n == 0, err
	}
	var m Message
	if err := Decode(b[:n], &m); err != nil {
		return "", false, err
	}
	switch {
	case m.Kind == SetBalancer:
		return string(m.UID), false, nil
	case len(m.Groups) > 0:
		return string(m.Groups[0].UID), false, nil
	}
	return "", false, fmt.Errorf("%w: the first message names no balancer", ErrBody)
}
