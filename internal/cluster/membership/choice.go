package membership

import (
	"cmp"
	"maps"
	"slices"
)

// candidate is the learner that gets the next vote: a preferred one, then one of the zone with the
// fewest voters, then the one that misses the fewest entries, then the lowest ID.
func (p Policy) candidate(v View, c census) (best Member, found bool) {
	for _, m := range v.Members {
		if m.Role != Learner || m.Leaving || !p.healthy(m) {
			continue
		}
		if !found || c.compareCandidates(m, best) < 0 {
			best = m
			found = true
		}
	}
	return best, found
}

// compareCandidates is below 0 if a goes before b.
func (c census) compareCandidates(a, b Member) int {
	return cmp.Or(
		-compareBool(a.VotePreferred, b.VotePreferred),
		cmp.Compare(c.zones[a.Zone], c.zones[b.Zone]),
		cmp.Compare(a.EntriesBehind, b.EntriesBehind),
		cmp.Compare(a.ID, b.ID),
	)
}

// spare is the voter that can give up its vote most easily, never the leader: one that is not
// preferred, then one that is not healthy, then one of the zone with the most voters, then the
// highest ID.
func (p Policy) spare(v View, c census) (best Member, found bool) {
	for _, m := range v.Members {
		if m.Role != Voter || m.ID == v.Leader || p.outgoing(m) {
			continue
		}
		if !found || p.compareSpares(c, m, best) < 0 {
			best = m
			found = true
		}
	}
	return best, found
}

// compareSpares is below 0 if a goes before b.
func (p Policy) compareSpares(c census, a, b Member) int {
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

// zoneRange is the lowest and the highest number of staying voters in a zone.
func (c census) zoneRange() (fewest, most int) {
	counts := slices.Collect(maps.Values(c.zones))
	return slices.Min(counts), slices.Max(counts)
}
