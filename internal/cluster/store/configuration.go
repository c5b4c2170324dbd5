package store

import (
	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

// memberIDs returns the IDs of all members of a configuration, and those of its voters.
func memberIDs(conf raftstorage.Configuration) (members, voters []string) {
	for _, server := range conf.Servers {
		members = append(members, string(server.ID))
		if server.Suffrage == raft.Voter {
			voters = append(voters, string(server.ID))
		}
	}
	return members, voters
}

// VotesByName reports for each member, by node name, whether it is a voter in this node's latest
// configuration. It returns nil while Raft does not run.
func (s *Store) VotesByName() map[string]bool {
	inc, err := s.running()
	if err != nil {
		return nil
	}
	votes := map[string]bool{}
	for _, server := range inc.configuration().Servers {
		name := diskidentity.MemberName(string(server.ID))
		votes[name] = votes[name] || server.Suffrage == raft.Voter
	}
	return votes
}

// memberAddresses returns the encoded address of each member of a configuration, by member ID.
func memberAddresses(conf raftstorage.Configuration) map[string]string {
	out := map[string]string{}
	for _, server := range conf.Servers {
		out[string(server.ID)] = string(server.Address)
	}
	return out
}

// findServer returns a member's entry in a configuration.
func findServer(conf raftstorage.Configuration, id string) (raft.Server, bool) {
	for _, server := range conf.Servers {
		if string(server.ID) == id {
			return server, true
		}
	}
	return raft.Server{}, false
}
