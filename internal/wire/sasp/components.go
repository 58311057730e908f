package sasp

// The components other than message components.
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

// Sizes of components in bytes, with their headers and without their texts.
const (
	componentHeaderSize = 4 // type and length, which start every component
	memberDataSize      = 24
	groupDataSize       = 6
	weightEntrySize     = 8
	memberStateSize     = 6
	groupCountSize      = 6 // of the components that count the members of a group
)

// groupComponent returns the component that starts every group of a kind of message; 0 if the kind has no groups. A group
// that starts with groupData has no members.
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
