// Package diskidentity decides what a node of the replicated store may do with the disk
// that it finds when it starts: what it and its peers know goes in, a verdict comes
// out. It does no I/O and reads no clock.
//
// A member is a name and the identity of a disk, "n1@5f0c…", made once with the folder
// and part of the cluster's configuration: a folder that is new is a new member, so the
// promises of the old one (votes, acknowledged entries) are never counted for it. A
// folder that went back in time has its old identity; it is told by the marks that
// others have seen of it.
package diskidentity

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Watermark is how far a disk has come. In the life of one disk no part of it goes back:
// a log is only cut where entries of a higher term follow.
type Watermark struct {
	Starts    uint64 `json:"starts"`
	Term      uint64 `json:"term"`
	LastTerm  uint64 `json:"last_term"` // of the log's last entry
	LastIndex uint64 `json:"last_index"`
}

// Behind tells whether a disk at m has forgotten something that one at seen had.
func (m Watermark) Behind(seen Watermark) bool {
	return m.Starts < seen.Starts || m.Term < seen.Term ||
		cmp.Or(cmp.Compare(m.LastTerm, seen.LastTerm), cmp.Compare(m.LastIndex, seen.LastIndex)) < 0
}

// Max is the highest of both, part by part.
func (m Watermark) Max(o Watermark) Watermark {
	out := Watermark{Starts: max(m.Starts, o.Starts), Term: max(m.Term, o.Term), LastTerm: m.LastTerm, LastIndex: m.LastIndex}
	if cmp.Or(cmp.Compare(m.LastTerm, o.LastTerm), cmp.Compare(m.LastIndex, o.LastIndex)) < 0 {
		out.LastTerm, out.LastIndex = o.LastTerm, o.LastIndex
	}
	return out
}

// MemberID is a member: a name and its disk.
func MemberID(name, disk string) string { return name + "@" + disk }

// MemberName of a member. One without a disk is of the version before.
func MemberName(id string) string { name, _, _ := strings.Cut(id, "@"); return name }

// MemberDisk of a member, or "" for one of the version before.
func MemberDisk(id string) string { _, disk, _ := strings.Cut(id, "@"); return disk }

// Attestation is what a node says of itself, and of the disk of the node that asks.
type Attestation struct {
	ID               string     `json:"id"`
	Cluster          string     `json:"cluster,omitempty"`
	PreviousClusters []string   `json:"was,omitempty"`     // clusters that this one was recovered from
	Fresh            bool       `json:"fresh"`             // a new folder that never took the place of another
	ConfigIndex      uint64     `json:"config"`            // index of the configuration that it has
	Members          []string   `json:"members,omitempty"` // in that configuration
	Voters           []string   `json:"voters,omitempty"`  // of them
	LastObserved     *Watermark `json:"seen,omitempty"`    // the most that it has seen of the asker's disk
}

// LocalDisk is what a node knows when it starts.
type LocalDisk struct {
	ID            string
	Cluster       string
	LoggedCluster string // the cluster in its log, while Cluster is not known for sure
	Fresh         bool   // nothing in the folder, and it took no other's place
	Empty         bool   // nothing in the folder
	Watermark     Watermark
	ConfigIndex   uint64
	Members       []string // of the configuration in its log
	Voters        []string // of them
	Founders      []string // names in the configuration file; nil for a node that is none of them
	Attesters     int      // other voters that must vouch for its disk; 0: as many as make a majority with it, -1: all
}

// Verdict is what to do.
type Verdict int

const (
	VerdictWait      Verdict = iota // ask again
	VerdictBootstrap                // make a cluster of all founders
	VerdictJoin                     // take the log from others, without a vote, and ask to be a member
	VerdictResume                   // go on as the member that it was
	VerdictRenew                    // give the disk a new identity, and then Join
)

func (v Verdict) String() string { return [...]string{"wait", "found", "join", "resume", "renew"}[v] }

// Decide says what a node may do, and why. words are the answers of others by name; one
// that is not there has not answered.
func Decide(own LocalDisk, words map[string]Attestation) (Verdict, string) {
	if by := Successor(cmp.Or(own.Cluster, own.LoggedCluster), words); by != "" {
		return VerdictWait, fmt.Sprintf("this folder to be moved away: its cluster was recovered as %s", by)
	}
	if own.Empty {
		return empty(own, words)
	}
	for _, w := range words {
		if w.ConfigIndex <= own.ConfigIndex || foreign(own, w) {
			continue
		}
		if !slices.Contains(w.Members, own.ID) {
			return VerdictRenew, fmt.Sprintf("%s knows of a configuration without this disk", w.ID)
		}
		own.ConfigIndex, own.Members, own.Voters = w.ConfigIndex, w.Members, w.Voters
	}
	for _, w := range words { // whoever says it, voter or not
		if w.LastObserved != nil && !foreign(own, w) && own.Watermark.Behind(*w.LastObserved) {
			return VerdictRenew, fmt.Sprintf("%s has seen this disk at %+v, it is at %+v", w.ID, *w.LastObserved, own.Watermark)
		}
	}
	if !slices.Contains(own.Voters, own.ID) {
		return VerdictJoin, "it has no vote"
	}
	need := own.Attesters
	switch others := len(own.Voters) - 1; {
	case need == 0:
		need = len(own.Voters) / 2
	case need < 0 || need > others:
		need = others
	}
	vouched := 0
	var missing []string
	for _, id := range own.Voters {
		if id == own.ID {
			continue
		}
		w, ok := words[MemberName(id)]
		if !ok || w.ID != id || foreign(own, w) {
			missing = append(missing, id)
			continue
		}
		vouched++
	}
	if vouched < need {
		slices.Sort(missing)
		return VerdictWait, fmt.Sprintf("%d of %s must say that this disk is not older than what it acknowledged", need-vouched, strings.Join(missing, ", "))
	}
	return VerdictResume, fmt.Sprintf("%d others have seen no more of this disk", vouched)
}

// Successor is the cluster that was recovered from one, or "". Nodes of the old one that
// come back must not act as if it still were.
func Successor(cluster string, words map[string]Attestation) string {
	for _, w := range words {
		if cluster != "" && w.Cluster != cluster && slices.Contains(w.PreviousClusters, cluster) {
			return w.Cluster
		}
	}
	return ""
}

func foreign(own LocalDisk, w Attestation) bool {
	return own.Cluster != "" && w.Cluster != "" && own.Cluster != w.Cluster
}

// empty decides for a folder with nothing in it. A cluster is made only by the first of
// the founders by name, and only when each of them says that it is new: one that can't be
// asked may hold what a cluster has acknowledged.
func empty(own LocalDisk, words map[string]Attestation) (Verdict, string) {
	if !own.Fresh {
		return VerdictJoin, "the folder took the place of one that can't be trusted"
	}
	for _, w := range words {
		if !w.Fresh {
			return VerdictJoin, fmt.Sprintf("%s is of a cluster", w.ID)
		}
	}
	name := MemberName(own.ID)
	if !slices.Contains(own.Founders, name) {
		return VerdictJoin, "the configuration names others as those who make the cluster"
	}
	var missing []string
	for _, n := range own.Founders {
		if _, ok := words[n]; !ok && n != name {
			missing = append(missing, n)
		}
	}
	if len(missing) > 0 {
		slices.Sort(missing)
		return VerdictWait, fmt.Sprintf("%s must say whether there is a cluster yet", strings.Join(missing, ", "))
	}
	if slices.Min(own.Founders) != name {
		return VerdictJoin, fmt.Sprintf("%s makes the cluster", slices.Min(own.Founders))
	}
	return VerdictBootstrap, "all founders are new"
}

// CheckJoin decides on a request for a place: refusal is "" if it may. up are the members
// that were heard of just now.
func CheckJoin(id string, members, removed []string, up func(id string) bool, most int) (refusal string) {
	name := MemberName(id)
	if slices.Contains(removed, name) {
		return fmt.Sprintf("%s was removed: 'store add %s' lets it in again", name, name)
	}
	for _, m := range members {
		if m != id && MemberName(m) == name && up(m) {
			return fmt.Sprintf("%s is there with another disk, %s", name, MemberDisk(m))
		}
	}
	if len(members) >= most {
		return fmt.Sprintf("there are %d members already", len(members))
	}
	return ""
}
