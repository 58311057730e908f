package sasp

import (
	"encoding/binary"
	"fmt"
)

// Decode decodes a framed message into a Message. The error wraps ErrBody and names the position and the reason; the
// Message is then incomplete and must not be used.
func Decode(frame []byte, message *Message) error {
	kind, id := Head(frame)
	*message = Message{Kind: kind, ID: id, Groups: message.Groups[:0], Rows: message.Rows[:0]}
	body := reader{data: frame, position: HeaderSize}
	opened := body.open(uint16(kind))
	body.fields(message)
	groupType := groupComponent(kind)
	groups := 0
	if groupType != 0 {
		groups = int(body.uint16())
	}
	body.close(opened)
	for range groups {
		if body.err != nil { // a count larger than the groups that follow stops at the first missing byte
			break
		}
		body.group(message, groupType)
	}
	if body.err == nil && body.position != len(frame) {
		body.fail("%d trailing bytes", len(frame)-body.position)
	}
	return body.err
}

// reader reads the fields of a message. After the first error it returns zero values.
type reader struct {
	data     []byte
	position int
	err      error
}

// component records where a component starts and its declared size, while its fields are being read.
type component struct {
	start int
	size  int // size in the component's header
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
		r.fail("truncated: %d bytes are missing", n-left)
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

// open reads the header of a component, whose type must be the wanted one. The caller must call close after its fields.
func (r *reader) open(want uint16) component {
	opened := component{start: r.position}
	kind := r.uint16()
	if r.err == nil && kind != want {
		r.fail("unexpected component %#04x, want %#04x", kind, want)
	}
	opened.size = int(r.uint16())
	return opened
}

// close checks that the component with its fields took as many bytes as its header declares.
func (r *reader) close(opened component) {
	size := r.position - opened.start
	if r.err == nil && size != opened.size {
		r.fail("component of %d bytes declares a length of %d", size, opened.size)
	}
}

// fields reads the fields of a message component that come before the number of groups.
func (r *reader) fields(message *Message) {
	switch message.Kind {
	case Registration, SetMember:
		message.LB = r.uint8()
	case Deregistration:
		message.LB = r.uint8()
		message.Reason = r.uint8()
	case RegistrationReply, DeregistrationReply, SetBalancerReply, SetMemberReply:
		message.Code = Code(r.uint8())
	case GetWeights, SendWeights: // these have only groups
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

func (r *reader) group(message *Message, groupType uint16) {
	members := 0
	if groupType != groupData {
		opened := r.open(groupType)
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
		r.row(&message.Rows[len(message.Rows)-1], groupType)
	}
	group.To = len(message.Rows)
	if r.err == nil {
		message.Groups = append(message.Groups, group)
	}
}

func (r *reader) row(row *Row, groupType uint16) {
	opened := r.open(memberData)
	row.Protocol = r.uint8()
	row.Port = r.uint16()
	copy(row.IP[:], r.bytes(len(row.IP)))
	row.Label = r.text()
	r.close(opened)
	switch groupType {
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
			r.fail("invalid quiesce flag %d", quiesced)
		}
		row.Flags = quiesced * Quiesce
		r.close(opened)
	}
}
