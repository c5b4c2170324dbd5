package store

import (
	"strings"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
)

// addressSeparator separates the fields of an address in the cluster's configuration, ID|RAFT|ADMIN|ZONE. The address
// holds all that others must know of a member, so that it changes in one log entry with the members.
const addressSeparator = "|"

const addressFields = 4

func encodeAddress(p Peer, id string) raft.ServerAddress {
	return raft.ServerAddress(strings.Join([]string{id, p.Raft, p.Admin, p.Zone}, addressSeparator))
}

// decodePeer reads an address. One that an earlier version wrote is the Raft address alone.
func decodePeer(id raft.ServerID, addr raft.ServerAddress) Peer {
	p := Peer{Name: diskidentity.MemberName(string(id)), Raft: string(addr)}
	if fields := strings.Split(string(addr), addressSeparator); len(fields) == addressFields {
		p.Raft = fields[1]
		p.Admin = fields[2]
		p.Zone = fields[3]
	}
	return p
}

// addressMemberID is the member that an address names.
func addressMemberID(addr raft.ServerAddress) string {
	id, _, _ := strings.Cut(string(addr), addressSeparator)
	return id
}
