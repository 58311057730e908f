package sasp

// Types of the components other than message components.
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

// Sizes of components in bytes, including their headers but not the contents of their texts.
const (
	componentHeaderSize = 4 // type and length, at the start of every component
	memberDataSize      = 24
	groupDataSize       = 6
	weightEntrySize     = 8
	memberStateSize     = 6
	groupCountSize      = 6 // size of the components that hold the number of members of a group
)

// groupComponent returns the type of the component that starts every group in a kind of message, or 0 if the kind has no
// groups. A group that starts with groupData has no members.
func groupComponent(kind Kind) uint16 {
	switch kind {
	case Registration, Deregistration:
		return memberGroup
	case GetWeights:
		return groupData
	case GetWeightsReply, SendWeights:
		return weightGroup
	case SetMember:
		return memberStates
	}
	return 0
}
