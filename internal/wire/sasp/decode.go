package sasp

import (
	"encoding/binary"
	"fmt"
)

// Decode decodes a framed message into a Message. The error is ErrBody, with the byte and the reason; the Message is then
// incomplete and must not be used.
func Decode(frame []byte, message *Message) error {
	kind, id := Head(frame)
	*message = Message{Kind: kind, ID: id, Groups: message.Groups[:0], Rows: message.Rows[:0]}
	body := reader{data: frame, position: HeaderSize}
	opened := body.open(uint16(kind))
	body.fields(message)
	grouping := groupComponent(kind)
	groups := 0
	if grouping != 0 {
		groups = int(body.uint16())
	}
	body.close(opened)
	for range groups {
		if body.err != nil { // a count without its groups ends at the first missing byte
			break
		}
		body.group(message, grouping)
	}
	if body.err == nil && body.position != len(frame) {
		body.fail("%d bytes too many", len(frame)-body.position)
	}
	return body.err
}

// reader reads a message. After the first error it returns zeros.
type reader struct {
	data     []byte
	position int
	err      error
}

// component is a component whose fields are being read.
type component struct {
	start int
	size  int // as its header has it
}

func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: byte %d: %s", ErrBody, r.position, fmt.Sprintf(format, args...))
	}
}

func (r *reader) bytes(n int) []byte {
	if r.err != nil {
		return nil
	}
	left := len(r.data) - r.position
	if left < n {
		r.fail("%d bytes are missing", n-left)
		return nil
	}
	r.position += n
	return r.data[r.position-n : r.position]
}

func (r *reader) uint8() uint8 {
	field := r.bytes(1)
	if field != nil {
		return field[0]
	}
	return 0
}

func (r *reader) uint16() uint16 {
	field := r.bytes(2)
	if field != nil {
		return binary.BigEndian.Uint16(field)
	}
	return 0
}

func (r *reader) text() []byte { return r.bytes(int(r.uint8())) }

// open starts a component of a type. close must follow after its fields.
func (r *reader) open(want uint16) component {
	opened := component{start: r.position}
	kind := r.uint16()
	if r.err == nil && kind != want {
		r.fail("component %#04x where %#04x belongs", kind, want)
	}
	opened.size = int(r.uint16())
	return opened
}

// close checks that the fields of a component took as many bytes as its header says.
func (r *reader) close(opened component) {
	size := r.position - opened.start
	if r.err == nil && size != opened.size {
		r.fail("a component of %d bytes says that it has %d", size, opened.size)
	}
}

// fields reads the fields of a message component, up to the count of groups.
func (r *reader) fields(message *Message) {
	switch message.Kind {
	case Registration, SetMember:
		message.LB = r.uint8()
	case Deregistration:
		message.LB = r.uint8()
		message.Reason = r.uint8()
	case RegistrationReply, DeregistrationReply, SetBalancerReply, SetMemberReply:
		message.Code = Code(r.uint8())
	case GetWeights, SendWeights: // only groups
	case GetWeightsReply:
		message.Code = Code(r.uint8())
		message.Interval = r.uint16()
	case SetBalancer:
		message.UID = r.text()
		message.Health = r.uint8()
		message.Flags = r.uint8()
	default:
		r.fail("unknown message %#04x", uint16(message.Kind))
	}
}

func (r *reader) group(message *Message, grouping uint16) {
	members := 0
	if grouping != groupData {
		opened := r.open(grouping)
		members = int(r.uint16())
		r.close(opened)
	}
	group := Group{From: len(message.Rows)}
	opened := r.open(groupData)
	group.UID = r.text()
	group.Name = r.text()
	r.close(opened)
	for range members {
		if r.err != nil {
			return
		}
		message.Rows = append(message.Rows, Row{})
		r.row(&message.Rows[len(message.Rows)-1], grouping)
	}
	group.To = len(message.Rows)
	if r.err == nil {
		message.Groups = append(message.Groups, group)
	}
}

func (r *reader) row(row *Row, grouping uint16) {
	opened := r.open(memberData)
	row.Protocol = r.uint8()
	row.Port = r.uint16()
	copy(row.IP[:], r.bytes(len(row.IP)))
	row.Label = r.text()
	r.close(opened)
	switch grouping {
	case weightGroup:
		opened = r.open(weightEntry)
		row.Opaque = r.uint8()
		row.Flags = r.uint8()
		row.Weight = r.uint16()
		r.close(opened)
	case memberStates:
		opened = r.open(memberState)
		row.Opaque = r.uint8()
		quiesced := r.uint8()
		if quiesced > 1 {
			r.fail("a quiesce flag of %d", quiesced)
		}
		row.Flags = quiesced * Quiesce
		r.close(opened)
	}
}
