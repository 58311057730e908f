package sasp

import (
	"encoding/binary"
	"fmt"
)

// Append appends a message to data and returns the longer slice. It panics on texts over MaxTextBytes and counts over
// MaxMembers, which the caller must prevent: the encoded lengths would be false.
func Append(data []byte, m *Message) []byte {
	start := len(data)
	data = appendComponentHeader(data, header, HeaderSize)
	data = append(data, version)
	data = binary.BigEndian.AppendUint32(data, 0) // the length, which is set at the end
	data = binary.BigEndian.AppendUint32(data, m.ID)
	body := len(data)
	data = appendComponentHeader(data, uint16(m.Kind), 0) // the size is set below
	data = appendFields(data, m)
	grouping := groupComponent(m.Kind)
	if grouping != 0 {
		data = appendCount(data, len(m.Groups))
	}
	binary.BigEndian.PutUint16(data[body+2:], uint16(len(data)-body))
	for i := range m.Groups {
		data = appendGroup(data, m, &m.Groups[i], grouping)
	}
	binary.BigEndian.PutUint32(data[start+headerLengthOffset:], uint32(len(data)-start))
	return data
}

// appendFields appends the fields of a message component, up to the count of groups.
func appendFields(data []byte, m *Message) []byte {
	switch m.Kind {
	case Registration, SetMember:
		return append(data, m.LB)
	case Deregistration:
		return append(data, m.LB, m.Reason)
	case GetWeights, SendWeights: // only groups
		return data
	case GetWeightsReply:
		data = append(data, byte(m.Code))
		return binary.BigEndian.AppendUint16(data, m.Interval)
	case SetBalancer:
		data = appendText(data, m.UID)
		return append(data, m.Health, m.Flags)
	default:
		return append(data, byte(m.Code))
	}
}

func appendGroup(data []byte, m *Message, group *Group, grouping uint16) []byte {
	if grouping != groupData {
		data = appendComponentHeader(data, grouping, groupCountSize)
		data = appendCount(data, group.To-group.From)
	}
	data = appendComponentHeader(data, groupData, groupDataSize+len(group.UID)+len(group.Name))
	data = appendText(data, group.UID)
	data = appendText(data, group.Name)
	for i := group.From; i < group.To; i++ {
		data = appendRow(data, &m.Rows[i], grouping)
	}
	return data
}

func appendRow(data []byte, row *Row, grouping uint16) []byte {
	data = appendComponentHeader(data, memberData, memberDataSize+len(row.Label))
	data = append(data, row.Protocol)
	data = binary.BigEndian.AppendUint16(data, row.Port)
	data = append(data, row.IP[:]...)
	data = appendText(data, row.Label)
	switch grouping {
	case weightGroup:
		data = appendComponentHeader(data, weightEntry, weightEntrySize)
		data = append(data, row.Opaque, row.Flags)
		data = binary.BigEndian.AppendUint16(data, row.Weight)
	case memberStates:
		data = appendComponentHeader(data, memberState, memberStateSize)
		quiesced := row.Flags & Quiesce / Quiesce // 0 or 1
		data = append(data, row.Opaque, quiesced)
	}
	return data
}

func appendComponentHeader(data []byte, kind uint16, size int) []byte {
	data = binary.BigEndian.AppendUint16(data, kind)
	return binary.BigEndian.AppendUint16(data, uint16(size))
}

func appendText(data, text []byte) []byte {
	if len(text) > MaxTextBytes {
		panic(fmt.Sprintf("sasp: a text of %d bytes", len(text)))
	}
	data = append(data, byte(len(text)))
	return append(data, text...)
}

func appendCount(data []byte, count int) []byte {
	if count > MaxMembers {
		panic(fmt.Sprintf("sasp: a count of %d", count))
	}
	return binary.BigEndian.AppendUint16(data, uint16(count))
}
