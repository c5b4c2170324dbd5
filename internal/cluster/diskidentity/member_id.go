package diskidentity

import "strings"

// idSeparator separates the name and the disk in a member's ID.
const idSeparator = "@"

// MemberID is the ID of a member: a name and the identity of its disk.
func MemberID(name, disk string) string { return name + idSeparator + disk }

// MemberName is the name in a member's ID.
func MemberName(id string) string {
	name, _, _ := strings.Cut(id, idSeparator)
	return name
}

// MemberDisk is the disk in a member's ID. It is "" for a member of an earlier version, whose ID is
// the name alone.
func MemberDisk(id string) string {
	_, disk, _ := strings.Cut(id, idSeparator)
	return disk
}
