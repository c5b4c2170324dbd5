package diskidentity

import (
	"fmt"
	"slices"
)

// CheckJoin decides on a node's request to become a member. It returns nil if the request is granted, and
// otherwise the reason, for operators. removed lists the names of nodes that operators have removed; isUp
// reports whether a member has answered recently.
func CheckJoin(id string, members, removed []string, isUp func(id string) bool, maxMembers int) error {
	name := MemberName(id)
	if slices.Contains(removed, name) {
		return fmt.Errorf("%s was removed: 'store add %s' lets it in again", name, name)
	}
	for _, member := range members {
		if member != id && MemberName(member) == name && isUp(member) {
			return fmt.Errorf("%s is there with another disk, %s", name, MemberDisk(member))
		}
	}
	if len(members) >= maxMembers {
		return fmt.Errorf("there are %d members already", len(members))
	}
	return nil
}
