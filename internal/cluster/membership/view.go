package membership

import "time"

// Role is what a member is in the latest configuration, which is not committed yet while
// View.ChangePending.
type Role int

// The roles.
const (
	Learner Role = iota // replicates the log and has no vote
	Voter
)

func (r Role) String() string { return [...]string{"learner", "voter"}[r] }

// Member is one member as the leader sees it.
type Member struct {
	ID            string
	Zone          string // failure domain; "" is one too
	Role          Role
	Up            bool
	DownFor       time.Duration // 0 if it is up
	EntriesBehind uint64        // log entries that it misses
	Leaving       bool          // an operator wants it removed
	DiskLost      bool          // the node of this name has another disk
	VotePreferred bool          // an operator wants it to have a vote
}

// View is all that a decision rests on.
type View struct {
	Leader        string // member ID
	Members       []Member
	ChangePending bool          // the latest configuration is not committed
	SinceChange   time.Duration // since the change before, or since this leader was elected
}

// Policy is what operators set. Its methods decide.
type Policy struct {
	TargetVoters       int           // wanted number; an even one survives no more failures than the odd one below it
	ReplaceAfter       time.Duration // a voter that is down for so long gives its vote to a learner
	RemoveLearnerAfter time.Duration // a learner that is down for so long is removed; 0 is never
	SettleTime         time.Duration // minimum time between two changes
	MaxEntriesBehind   uint64        // log entries that a healthy member may miss
}

// Quorum is the majority of a number of voters.
func Quorum(voters int) int { return voters/2 + 1 }

// healthy reports whether a member counts for the majority: up, with its disk, and with the log.
func (p Policy) healthy(m Member) bool {
	return m.Up && !m.DiskLost && m.EntriesBehind <= p.MaxEntriesBehind
}

// shouldLoseVote reports whether a voter's vote is to go to another member.
func (p Policy) shouldLoseVote(m Member) bool {
	return m.Leaving || m.DiskLost || !m.Up && m.DownFor >= p.ReplaceAfter
}

// shouldRemove reports whether a learner is to be removed.
func (p Policy) shouldRemove(m Member) bool {
	return m.Leaving || m.DiskLost || !m.Up && p.RemoveLearnerAfter > 0 && m.DownFor >= p.RemoveLearnerAfter
}

// departureReason is why a member loses its vote or its place.
func departureReason(m Member) string {
	switch {
	case m.DiskLost:
		return "its disk is gone"
	case m.Leaving:
		return "it leaves"
	}
	return "it was down for too long"
}

// voterCounts counts the voters of a view.
type voterCounts struct {
	voters   int
	healthy  int            // of the voters
	retained int            // voters that keep their vote (not losesVote)
	zones    map[string]int // staying voters, also of zones that have none and could have one
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

// keepsQuorumWithout reports whether the voters without one of them still have a healthy majority.
func (p Policy) keepsQuorumWithout(c voterCounts, m Member) bool {
	healthy := c.healthy
	if p.healthy(m) {
		healthy--
	}
	return c.voters > 1 && healthy >= Quorum(c.voters-1)
}
