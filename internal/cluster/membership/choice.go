package membership

import (
	"cmp"
	"maps"
	"slices"
)

// promotionCandidate returns the healthy learner to promote next. Learners are ordered by: preferred by an
// operator, fewest voters in the learner's zone, fewest missing log entries, lowest ID.
func (p Policy) promotionCandidate(v View, c voterCounts) (best Member, found bool) {
	for _, m := range v.Members {
		if m.Role != Learner || m.Leaving || !p.healthy(m) {
			continue
		}
		if !found || c.comparePromotionCandidates(m, best) < 0 {
			best = m
			found = true
		}
	}
	return best, found
}

// comparePromotionCandidates returns a negative number if a is promoted before b.
func (c voterCounts) comparePromotionCandidates(a, b Member) int {
	return cmp.Or(
		-compareBool(a.VotePreferred, b.VotePreferred),
		cmp.Compare(c.zones[a.Zone], c.zones[b.Zone]),
		cmp.Compare(a.EntriesBehind, b.EntriesBehind),
		cmp.Compare(a.ID, b.ID),
	)
}

// demotionCandidate returns the voter to demote next, which is never the leader. Voters are ordered
// by: not preferred by an operator, not healthy, most voters in the voter's zone, highest ID.
func (p Policy) demotionCandidate(v View, c voterCounts) (best Member, found bool) {
	for _, m := range v.Members {
		if m.Role != Voter || m.ID == v.Leader || p.shouldLoseVote(m) {
			continue
		}
		if !found || p.compareDemotionCandidates(c, m, best) < 0 {
			best = m
			found = true
		}
	}
	return best, found
}

// compareDemotionCandidates returns a negative number if a is demoted before b.
func (p Policy) compareDemotionCandidates(c voterCounts, a, b Member) int {
	return cmp.Or(
		compareBool(a.VotePreferred, b.VotePreferred),
		compareBool(p.healthy(a), p.healthy(b)),
		cmp.Compare(c.zones[b.Zone], c.zones[a.Zone]),
		cmp.Compare(b.ID, a.ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// votersPerZoneRange returns the lowest and the highest number of retained voters in a zone.
func (c voterCounts) votersPerZoneRange() (minVoters, maxVoters int) {
	counts := slices.Collect(maps.Values(c.zones))
	return slices.Min(counts), slices.Max(counts)
}
