package membership

import "time"

// Role is a member's role in the latest Raft configuration. That configuration is not committed while
// View.ChangePending is true.
type Role int

// The member roles.
const (
	Learner Role = iota // replicates the log and has no vote
	Voter
)

func (r Role) String() string { return [...]string{"learner", "voter"}[r] }

// Member is the state of one member as the leader observes it.
type Member struct {
	ID            string
	Zone          string // failure domain; members with "" share one
	Role          Role
	Up            bool
	DownFor       time.Duration // 0 if the member is up
	EntriesBehind uint64        // number of missing log entries
	Leaving       bool          // an operator has requested the removal
	DiskLost      bool          // the node with this name has a different disk
	VotePreferred bool          // an operator prefers this member as a voter
}

// View is the state of the cluster as the leader observes it, the input of a decision.
type View struct {
	Leader        string // member ID
	Members       []Member
	ChangePending bool          // the latest configuration is not committed
	SinceChange   time.Duration // time since the last change, or since the election of this leader
}

// Policy holds the operators' settings for membership changes. NextStep decides by them.
type Policy struct {
	TargetVoters       int           // wanted number of voters; an even number tolerates no more failures than the odd number below it
	ReplaceAfter       time.Duration // downtime after which a learner replaces a voter
	RemoveLearnerAfter time.Duration // downtime after which a learner is removed; 0 means never
	SettleTime         time.Duration // minimum time between two changes
	MaxEntriesBehind   uint64        // log entries that a healthy member may be behind
}

// Quorum returns the size of a majority of the given number of voters.
func Quorum(voters int) int { return voters/2 + 1 }

// healthy reports whether a member counts towards a healthy majority: it is up, has its disk, and is at most
// MaxEntriesBehind log entries behind.
func (p Policy) healthy(m Member) bool {
	return m.Up && !m.DiskLost && m.EntriesBehind <= p.MaxEntriesBehind
}

// shouldLoseVote reports whether another member is to replace a voter.
func (p Policy) shouldLoseVote(m Member) bool {
	return m.Leaving || m.DiskLost || !m.Up && m.DownFor >= p.ReplaceAfter
}

// shouldRemove reports whether a learner is to be removed.
func (p Policy) shouldRemove(m Member) bool {
	return m.Leaving || m.DiskLost || !m.Up && p.RemoveLearnerAfter > 0 && m.DownFor >= p.RemoveLearnerAfter
}

// departureReason returns why a member is demoted or removed.
func departureReason(m Member) string {
	switch {
	case m.DiskLost:
		return "its disk is gone"
	case m.Leaving:
		return "it leaves"
	}
	return "it was down for too long"
}

// voterCounts holds the numbers of voters in a view.
type voterCounts struct {
	voters   int
	healthy  int            // healthy voters
	retained int            // voters for which shouldLoseVote is false
	zones    map[string]int // retained voters by zone; 0 for a zone without any that has a healthy learner
}

func (p Policy) countVoters(v View) voterCounts {
	c := voterCounts{zones: map[string]int{}}
	for _, m := range v.Members {
		if p.healthy(m) && !m.Leaving {
			c.zones[m.Zone] += 0
		}
		if m.Role != Voter {
			continue
		}
		c.voters++
		if p.healthy(m) {
			c.healthy++
		}
		if !p.shouldLoseVote(m) {
			c.retained++
			c.zones[m.Zone]++
		}
	}
	return c
}

// keepsQuorumWithout reports whether the other voters have a healthy majority if voter m is demoted.
func (p Policy) keepsQuorumWithout(c voterCounts, m Member) bool {
	healthy := c.healthy
	if p.healthy(m) {
		healthy--
	}
	return c.voters > 1 && healthy >= Quorum(c.voters-1)
}
