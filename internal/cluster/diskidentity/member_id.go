package diskidentity

import "strings"

// idSeparator separates the node name and the disk identity in a member ID.
const idSeparator = "@"

// MemberID returns the member ID for a node name and a disk identity.
func MemberID(name, disk string) string { return name + idSeparator + disk }

// MemberName returns the node name in a member ID.
func MemberName(id string) string {
	name, _, _ := strings.Cut(id, idSeparator)
	return name
}

// MemberDisk returns the disk identity in a member ID. It is "" for a member of an earlier version, whose
// ID is only the name.
func MemberDisk(id string) string {
	_, disk, _ := strings.Cut(id, idSeparator)
	return disk
}
