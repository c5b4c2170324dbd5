package membership

import (
	"cmp"
	"maps"
	"slices"
)

// promotionCandidate is the learner that gets the next vote: a preferred one, then one of the zone with the
// fewest voters, then the one that misses the fewest entries, then the lowest ID.
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

// comparePromotionCandidates is below 0 if a goes before b.
func (c voterCounts) comparePromotionCandidates(a, b Member) int {
	return cmp.Or(
		-compareBool(a.VotePreferred, b.VotePreferred),
		cmp.Compare(c.zones[a.Zone], c.zones[b.Zone]),
		cmp.Compare(a.EntriesBehind, b.EntriesBehind),
		cmp.Compare(a.ID, b.ID),
	)
}

// demotionCandidate is the voter that gives up its vote first, never the leader: one that is not
// preferred, then one that is not healthy, then one of the zone with the most voters, then the
// highest ID.
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

// compareDemotionCandidates is below 0 if a goes before b.
func (p Policy) compareDemotionCandidates(c voterCounts, a, b Member) int {
	return cmp.Or(
		compareBool(a.VotePreferred, b.VotePreferred),
		compareBool(p.healthy(a), p.healthy(b)),
		cmp.Compare(c.zones[b.Zone], c.zones[a.Zone]),
		cmp.Compare(b.ID, a.ID),
	)
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// votersPerZoneRange is the lowest and the highest number of staying voters in a zone.
func (c voterCounts) votersPerZoneRange() (minVoters, maxVoters int) {
	counts := slices.Collect(maps.Values(c.zones))
	return slices.Min(counts), slices.Max(counts)
}
