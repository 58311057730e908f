package sasp

import (
	"encoding/binary"
	"fmt"
)

// Append appends the encoded message to data and returns the extended slice. It panics if a text is longer than
// MaxTextBytes or a count is higher than MaxMembers, since their lengths and counts could not be encoded; the caller must
// prevent this.
func Append(data []byte, m *Message) []byte {
	start := len(data)
	data = appendComponentHeader(data, header, HeaderSize)
	data = append(data, version)
	data = binary.BigEndian.AppendUint32(data, 0) // placeholder for the length, which is set at the end
	data = binary.BigEndian.AppendUint32(data, m.ID)
	body := len(data)
	data = appendComponentHeader(data, uint16(m.Kind), 0) // placeholder for the size, which is set below
	data = appendFields(data, m)
	groupType := groupComponent(m.Kind)
	if groupType != 0 {
		data = appendCount(data, len(m.Groups))
	}
	binary.BigEndian.PutUint16(data[body+2:], uint16(len(data)-body))
	for i := range m.Groups {
		data = appendGroup(data, m, &m.Groups[i], groupType)
	}
	binary.BigEndian.PutUint32(data[start+headerLengthOffset:], uint32(len(data)-start))
	return data
}

// appendFields appends the fields of a message component that come before the number of groups.
func appendFields(data []byte, m *Message) []byte {
	switch m.Kind {
	case Registration, SetMember:
		return append(data, m.LB)
	case Deregistration:
		return append(data, m.LB, m.Reason)
	case GetWeights, SendWeights: // these have only groups
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

func appendGroup(data []byte, m *Message, group *Group, groupType uint16) []byte {
	if groupType != groupData {
		data = appendComponentHeader(data, groupType, groupCountSize)
		data = appendCount(data, group.To-group.From)
	}
	data = appendComponentHeader(data, groupData, groupDataSize+len(group.UID)+len(group.Name))
	data = appendText(data, group.UID)
	data = appendText(data, group.Name)
	for i := group.From; i < group.To; i++ {
		data = appendRow(data, &m.Rows[i], groupType)
	}
	return data
}

func appendRow(data []byte, row *Row, groupType uint16) []byte {
	data = appendComponentHeader(data, memberData, memberDataSize+len(row.Label))
	data = append(data, row.Protocol)
	data = binary.BigEndian.AppendUint16(data, row.Port)
	data = append(data, row.IP[:]...)
	data = appendText(data, row.Label)
	switch groupType {
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
		panic(fmt.Sprintf("sasp: text of %d bytes is too long", len(text)))
	}
	data = append(data, byte(len(text)))
	return append(data, text...)
}

func appendCount(data []byte, count int) []byte {
	if count > MaxMembers {
		panic(fmt.Sprintf("sasp: count %d is too high", count))
	}
	return binary.BigEndian.AppendUint16(data, uint16(count))
}
