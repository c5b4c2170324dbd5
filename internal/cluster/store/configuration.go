package store

import (
	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

// memberIDs are the members of a configuration, and those of them that vote.
func memberIDs(conf raftstorage.Configuration) (members, voters []string) {
	for _, server := range conf.Servers {
		members = append(members, string(server.ID))
		if server.Suffrage == raft.Voter {
			voters = append(voters, string(server.ID))
		}
	}
	return members, voters
}

// VotesByName reports, for each name that is a member of the store, whether its node votes, as this node's
// configuration has it. It is nil while the node does not run.
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

// memberAddresses are the members' addresses by ID, as the configuration holds them.
func memberAddresses(conf raftstorage.Configuration) map[string]string {
	out := map[string]string{}
	for _, server := range conf.Servers {
		out[string(server.ID)] = string(server.Address)
	}
	return out
}

// findServer is a member's entry in a configuration.
func findServer(conf raftstorage.Configuration, id string) (raft.Server, bool) {
	for _, server := range conf.Servers {
		if string(server.ID) == id {
			return server, true
		}
	}
	return raft.Server{}, false
}
