// Package sasp encodes and decodes the messages of the Server/Application State Protocol, version 1 (RFC 4678).
//
// It is pure: bytes in, structures out, and back. docs/sasp.md says which numbers could not be verified.
//
// Every message is a header (RFC 4678, section 4.1) followed by one message component, which is followed by the
// components that it counts. All numbers are in network byte order. Every component starts with its type and its own
// length, nested components not included.
package sasp

import (
	"fmt"
	"net/netip"
)

// Port is the TCP port that IANA has assigned.
const Port = 3860

// Sizes and limits of messages.
const (
	HeaderSize      = 13      // bytes of the header component
	MaxMessageBytes = 1 << 20 // bytes of the largest message that is accepted; 30,000 rows fit
	MaxTextBytes    = 255     // bytes of a UID, a group name or a label: their length is one byte
	MaxMembers      = 65535   // members of one group in one message: their count is two bytes
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

// replyOffset is added to the kind of a request to get that of its reply.
const replyOffset = 5

// ReplyTo returns the kind of the reply to a kind of message; 0 if there is none.
func ReplyTo(kind Kind) Kind {
	switch kind {
	case Registration, Deregistration, GetWeights, SetBalancer, SetMember:
		return kind + replyOffset
	}
	return 0
}

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
	InvalidGroupName   Code = 0x50 // it is empty
	InvalidBalancer    Code = 0x51 // its UID is empty
	BalancerNotConnected Code = 0x61 // a member names a balancer that is not yet connected
)

var codeNames = map[Code]string{
	OK:                 "successful",
	NotUnderstood:      "message not understood",
	NotAccepted:        "not accepted from this sender",
	AlreadyRegistered:  "member already registered",
	NotRegistered:      "member not registered",
	UnknownGroup:       "unknown group",
	UnknownBalancer:    "unknown balancer",
	DuplicateMember:    "duplicate member in one message",
	InvalidGroup:       "invalid group",
	DuplicateGroup:     "duplicate group in one message",
	InvalidGroupName:   "empty group name",
	InvalidBalancer:    "empty balancer UID",
	BalancerNotConnected: "balancer not yet connected",
}

// String returns the meaning of a code.
func (c Code) String() string {
	if name, ok := codeNames[c]; ok {
		return name
	}
	return fmt.Sprintf("code %#x", uint8(c))
}

// Bits of the flags; the first bit of the RFC's diagrams is the highest.
const (
	Push         = 0x80 // balancer: it wants weights sent without a request
	Trust        = 0x40 // balancer: members may register and quiesce themselves
	NoChange     = 0x20 // balancer: unchanged members may be left out of sent weights
	Contact      = 0x80 // entry: the member could be reached
	Quiesce      = 0x40 // entry: no new requests
	ByBalancer   = 0x20 // entry: the balancer registered the member, not the member itself
	Confident    = 0x10 // entry: the weight is measured, not only configured
	FromBalancer = 1    // value of the LB flag if a balancer sends the message, not a member
)

const protocolTCP = 6 // protocol number assigned by IANA

// Address identifies a member by protocol, port and IP address, with IPv4 mapped into IPv6 (RFC 4678, section 4.3).
type Address struct {
	Protocol uint8
	Port     uint16
	IP       [16]byte
}

// AddressOf returns the address of a member that uses TCP.
func AddressOf(a netip.AddrPort) Address {
	return Address{Protocol: protocolTCP, Port: a.Port(), IP: a.Addr().As16()}
}

// AddrPort returns the address without its protocol, IPv4 unmapped.
func (a Address) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(a.IP).Unmap(), a.Port)
}

// Row is a member of a group, with the weight entry or the state that the message has for it.
type Row struct {
	Address
	Label  []byte
	Opaque uint8  // state that is passed through
	Flags  uint8  // Contact, Quiesce, ByBalancer, Confident; in SetMember only Quiesce
	Weight uint16 // 0: no new requests
}

// Group is a group of members, named by the UID of its balancer and its own name. Its rows are Message.Rows[From:To].
type Group struct {
	UID  []byte
	Name []byte
	From int
	To   int
}

// Message is a message of any kind; each kind uses some of the fields. After Decode its byte slices point into the decoded
// bytes. A Message may be reused for decoding; it allocates nothing once it is large enough.
type Message struct {
	Kind     Kind
	ID       uint32
	Code     Code
	LB       uint8  // FromBalancer or 0
	Reason   uint8  // of a deregistration
	Interval uint16 // seconds between two requests for weights
	UID      []byte // of SetBalancer
	Health   uint8
	Flags    uint8 // Push, Trust, NoChange
	Groups   []Group
	Rows     []Row
}
