// Package sasp encodes and decodes the messages of the Server/Application State Protocol, version 1 (RFC 4678).
//
// The package is pure: it converts bytes to structures and back, and does no I/O. docs/sasp.md lists the numbers that
// could not be verified.
//
// Every message consists of a header (RFC 4678, section 4.1), one message component, and as many further components as
// the message component announces. All numbers are in network byte order. Every component starts with its type and its
// own length, which does not include nested components.
package sasp

import (
	"fmt"
	"net/netip"
)

// Port is the TCP port that IANA has assigned to SASP.
const Port = 3860

// Sizes and limits of messages.
const (
	HeaderSize      = 13      // bytes of the header component
	MaxMessageBytes = 1 << 20 // bytes of the largest message; enough for 30,000 rows
	MaxTextBytes    = 255     // bytes of a UID, a group name or a label; the length field has one byte
	MaxMembers      = 65535   // members of one group in one message; the count field has two bytes
)

// Kind is the type of a message component.
type Kind uint16

// The types of message components (RFC 4678, section 4).
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

// replyOffset is the difference between the kind of a reply and that of its request.
const replyOffset = 5

// ReplyTo returns the kind of the reply to a kind of message, or 0 if it has no reply.
func ReplyTo(kind Kind) Kind {
	switch kind {
	case Registration, Deregistration, GetWeights, SetBalancer, SetMember:
		return kind + replyOffset
	}
	return 0
}

// Code is a response code. RFC 4678, section 5, lists the codes of each kind of reply.
type Code uint8

// The response codes.
const (
	OK                   Code = 0x00
	NotUnderstood        Code = 0x10 // the message is malformed
	NotAccepted          Code = 0x11 // the message is not allowed from this sender
	AlreadyRegistered    Code = 0x40
	NotRegistered        Code = 0x41
	UnknownGroup         Code = 0x42
	UnknownBalancer      Code = 0x43
	DuplicateMember      Code = 0x44 // the member occurs twice in one message
	InvalidGroup         Code = 0x45
	DuplicateGroup       Code = 0x46
	InvalidGroupName     Code = 0x50 // the group name is empty
	InvalidBalancer      Code = 0x51 // the balancer's UID is empty
	BalancerNotConnected Code = 0x61 // a member names a balancer that has not connected yet
)

var codeNames = map[Code]string{
	OK:                   "successful",
	NotUnderstood:        "message not understood",
	NotAccepted:          "not accepted from this sender",
	AlreadyRegistered:    "member already registered",
	NotRegistered:        "member not registered",
	UnknownGroup:         "unknown group",
	UnknownBalancer:      "unknown balancer",
	DuplicateMember:      "duplicate member in one message",
	InvalidGroup:         "invalid group",
	DuplicateGroup:       "duplicate group in one message",
	InvalidGroupName:     "empty group name",
	InvalidBalancer:      "empty balancer UID",
	BalancerNotConnected: "balancer not yet connected",
}

// String returns the meaning of the code.
func (c Code) String() string {
	if name, ok := codeNames[c]; ok {
		return name
	}
	return fmt.Sprintf("code %#x", uint8(c))
}

// Bits of the flags. The first bit in the RFC's diagrams is the most significant one.
const (
	Push         = 0x80 // balancer flag: weights are to be sent without a request
	Trust        = 0x40 // balancer flag: members may register and quiesce themselves
	NoChange     = 0x20 // balancer flag: unchanged members may be omitted from sent weights
	Contact      = 0x80 // entry flag: the member could be contacted
	Quiesce      = 0x40 // entry flag: the member is to receive no new requests
	ByBalancer   = 0x20 // entry flag: the member was registered by the balancer, not by itself
	Confident    = 0x10 // entry flag: the weight is based on measurements, not only on configuration
	FromBalancer = 1    // value of the LB flag in a message that a balancer sends; in a member's message the flag is 0
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

// AddrPort returns the IP address and the port, with IPv4 unmapped from IPv6.
func (a Address) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(a.IP).Unmap(), a.Port)
}

// Row is a member of a group, with its weight entry or its state if the kind of message contains one.
type Row struct {
	Address
	Label  []byte
	Opaque uint8  // opaque state, which is stored and sent back unchanged
	Flags  uint8  // combination of Contact, Quiesce, ByBalancer and Confident; in SetMember only Quiesce
	Weight uint16 // 0 means that the member is to receive no new requests
}

// Group is a group of members, identified by the UID of its balancer and its name. Its rows are Message.Rows[From:To].
type Group struct {
	UID  []byte
	Name []byte
	From int
	To   int
}

// Message is a message of any kind; each kind uses some of the fields. After Decode its byte slices refer to the decoded
// bytes. A Message may be reused for decoding; Decode allocates nothing once the slices are large enough.
type Message struct {
	Kind     Kind
	ID       uint32
	Code     Code
	LB       uint8  // FromBalancer or 0
	Reason   uint8  // reason of a deregistration
	Interval uint16 // seconds between two requests for weights, in GetWeightsReply
	UID      []byte // the balancer's UID, in SetBalancer
	Health   uint8
	Flags    uint8 // Push, Trust, NoChange
	Groups   []Group
	Rows     []Row
}
