package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"snowquay/internal/coordinator"
	"snowquay/internal/core/membership"
	"snowquay/internal/wire/peer"
)

const (
	memberTimeout       = 3 * time.Second        // limit for connecting to a member, and for its reply
	removalPollInterval = 200 * time.Millisecond // time between two checks whether a removal is committed
	replyReadSize       = 16 << 10               // maximum number of bytes per read from a member
)

// UnknownMemberError reports that a group has no member with the given number.
type UnknownMemberError struct {
	MemberID membership.MemberID
}

// Error implements error.
func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("the group has no member with number %d", e.MemberID)
}

// GroupStatus returns the status of a group as reported by the member at an address. key is the key of the group.
func GroupStatus(address netip.AddrPort, key []byte) (coordinator.Status, error) {
	return queryMember(address, key, nil)
}

// RemoveMember removes a member permanently from its group, through any of the other members. A command may be lost
// during a leader election, so it is repeated until a member reports that the removal is committed, or the timeout
// has passed.
func RemoveMember(group *coordinator.GroupConfig, id membership.MemberID, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		removed, err := requestRemoval(group, id)
		if removed {
			return nil
		}
		var unknown *UnknownMemberError
		if errors.As(err, &unknown) {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the removal was not committed within %s; check that a majority of the members is running: %w", timeout, err)
		}
		time.Sleep(removalPollInterval)
	}
}

// requestRemoval sends the command that removes a member to the first of the other members that replies. removed
// reports whether a member has already seen the removal committed; err is the error of the last member that was
// tried.
func requestRemoval(group *coordinator.GroupConfig, id membership.MemberID) (removed bool, err error) {
	for _, other := range slices.Sorted(maps.Keys(group.Members)) {
		if other == id {
			continue
		}
		var status coordinator.Status
		status, err = queryMember(group.Members[other], group.Key, nil)
		if err != nil {
			continue
		}
		registration, known := status.Registrations[id]
		if registration.Removed {
			return true, nil
		}
		if !known {
			return false, &UnknownMemberError{MemberID: id}
		}
		command := membership.Command{Kind: membership.RemoveRegistration, MemberID: id}
		_, err = queryMember(group.Members[other], group.Key, &command)
		if err == nil {
			return false, nil
		}
	}
	return false, err
}

// queryMember sends a command, unless it is nil, to the member at an address and returns the member's status.
func queryMember(address netip.AddrPort, key []byte, command *membership.Command) (status coordinator.Status, err error) {
	conn, err := net.DialTimeout("tcp", address.String(), memberTimeout)
	if err != nil {
		return status, err
	}
	defer func() { _ = conn.Close() }()
	err = conn.SetDeadline(time.Now().Add(memberTimeout))
	if err != nil {
		return status, err
	}
	var request []byte
	if command != nil {
		encoded, err := command.Encode()
		if err != nil {
			return status, err
		}
		request = peer.Append(request, key, peer.Frame{Kind: peer.Command, Message: encoded})
	}
	request = peer.Append(request, key, peer.Frame{Kind: peer.StatusRequest})
	_, err = conn.Write(request)
	if err != nil {
		return status, err
	}
	message, err := readReply(conn, key)
	if err != nil {
		return status, err
	}
	err = json.Unmarshal(message, &status)
	return status, err
}

// readReply returns the message of the first frame that a member sends.
func readReply(conn net.Conn, key []byte) ([]byte, error) {
	var received []byte
	chunk := make([]byte, replyReadSize)
	for {
		n, err := conn.Read(chunk)
		if err != nil {
			return nil, fmt.Errorf("no reply from the member, which may use another key: %w", err)
		}
		received = append(received, chunk[:n]...)
		frame, size, err := peer.Next(received, key)
		if err != nil {
			return nil, err
		}
		if size > 0 {
			return frame.Message, nil
		}
	}
}
