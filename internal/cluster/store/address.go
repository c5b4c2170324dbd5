package store

import (
	"strings"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
)

// addressSeparator separates the fields of an address in the cluster's configuration: ID|RAFT|ADMIN|ZONE.
// The address holds everything that other nodes need to know about a member, so that one log entry changes
// it together with the membership.
const addressSeparator = "|"

const addressFields = 4

func encodeAddress(p Peer, id string) raft.ServerAddress {
	return raft.ServerAddress(strings.Join([]string{id, p.Raft, p.Admin, p.Zone}, addressSeparator))
}

// decodePeer parses an address of the cluster's configuration. Earlier versions wrote the Raft address
// only.
func decodePeer(id raft.ServerID, addr raft.ServerAddress) Peer {
	p := Peer{Name: diskidentity.MemberName(string(id)), Raft: string(addr)}
	if fields := strings.Split(string(addr), addressSeparator); len(fields) == addressFields {
		p.Raft = fields[1]
		p.Admin = fields[2]
		p.Zone = fields[3]
	}
	return p
}

// addressMemberID returns the member ID in an address.
func addressMemberID(addr raft.ServerAddress) string {
	id, _, _ := strings.Cut(string(addr), addressSeparator)
	return id
}
