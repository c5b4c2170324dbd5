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

// Mark is how far a disk has come. In the life of one disk no part of it goes back:
// a log is only cut where entries of a higher term follow.
type Mark struct {
	Starts    uint64 `json:"starts"`
	Term      uint64 `json:"term"`
	LastTerm  uint64 `json:"last_term"` // of the log's last entry
	LastIndex uint64 `json:"last_index"`
}

// Behind tells whether a disk at m has forgotten something that one at seen had.
func (m Mark) Behind(seen Mark) bool {
	return m.Starts < seen.Starts || m.Term < seen.Term ||
		cmp.Or(cmp.Compare(m.LastTerm, seen.LastTerm), cmp.Compare(m.LastIndex, seen.LastIndex)) < 0
}

// Max is the highest of both, part by part.
func (m Mark) Max(o Mark) Mark {
	out := Mark{Starts: max(m.Starts, o.Starts), Term: max(m.Term, o.Term), LastTerm: m.LastTerm, LastIndex: m.LastIndex}
	if cmp.Or(cmp.Compare(m.LastTerm, o.LastTerm), cmp.Compare(m.LastIndex, o.LastIndex)) < 0 {
		out.LastTerm, out.LastIndex = o.LastTerm, o.LastIndex
	}
	return out
}

// ID is a member: a name and its disk.
func ID(name, disk string) string { return name + "@" + disk }

// Name of a member. One without a disk is of the version before.
func Name(id string) string { name, _, _ := strings.Cut(id, "@"); return name }

// Disk of a member, or "" for one of the version before.
func Disk(id string) string { _, disk, _ := strings.Cut(id, "@"); return disk }

// Word is what a node says of itself, and of the disk of the node that asks.
type Word struct {
	ID      string   `json:"id"`
	Cluster string   `json:"cluster,omitempty"`
	Was     []string `json:"was,omitempty"`     // clusters that this one was recovered from
	Fresh   bool     `json:"fresh"`             // a new folder that never took the place of another
	Config  uint64   `json:"config"`            // index of the configuration that it has
	Members []string `json:"members,omitempty"` // in that configuration
	Voters  []string `json:"voters,omitempty"`  // of them
	Seen    *Mark    `json:"seen,omitempty"`    // the most that it has seen of the asker's disk
}

// Own is what a node knows when it starts.
type Own struct {
	ID       string
	Cluster  string
	Logged   string // the cluster in its log, while Cluster is not known for sure
	Fresh    bool   // nothing in the folder, and it took no other's place
	Empty    bool   // nothing in the folder
	Mark     Mark
	Config   uint64
	Members  []string // of the configuration in its log
	Voters   []string // of them
	Founders []string // names in the configuration file; nil for a node that is none of them
	Vouchers int      // other voters that must vouch for its disk; 0: as many as make a majority with it, -1: all
}

// Verdict is what to do.
type Verdict int

const (
	Wait   Verdict = iota // ask again
	Found                 // make a cluster of all founders
	Join                  // take the log from others, without a vote, and ask to be a member
	Resume                // go on as the member that it was
	Renew                 // give the disk a new identity, and then Join
)

func (v Verdict) String() string { return [...]string{"wait", "found", "join", "resume", "renew"}[v] }

// Decide says what a node may do, and why. words are the answers of others by name; one
// that is not there has not answered.
func Decide(own Own, words map[string]Word) (Verdict, string) {
	if by := Replaced(cmp.Or(own.Cluster, own.Logged), words); by != "" {
		return Wait, fmt.Sprintf("this folder to be moved away: its cluster was recovered as %s", by)
	}
	if own.Empty {
		return empty(own, words)
	}
	for _, w := range words {
		if w.Config <= own.Config || foreign(own, w) {
			continue
		}
		if !slices.Contains(w.Members, own.ID) {
			return Renew, fmt.Sprintf("%s knows of a configuration without this disk", w.ID)
		}
		own.Config, own.Members, own.Voters = w.Config, w.Members, w.Voters
	}
	for _, w := range words { // whoever says it, voter or not
		if w.Seen != nil && !foreign(own, w) && own.Mark.Behind(*w.Seen) {
			return Renew, fmt.Sprintf("%s has seen this disk at %+v, it is at %+v", w.ID, *w.Seen, own.Mark)
		}
	}
	if !slices.Contains(own.Voters, own.ID) {
		return Join, "it has no vote"
	}
	need := own.Vouchers
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
		w, ok := words[Name(id)]
		if !ok || w.ID != id || foreign(own, w) {
			missing = append(missing, id)
			continue
		}
		vouched++
	}
	if vouched < need {
		slices.Sort(missing)
		return Wait, fmt.Sprintf("%d of %s must say that this disk is not older than what it acknowledged", need-vouched, strings.Join(missing, ", "))
	}
	return Resume, fmt.Sprintf("%d others have seen no more of this disk", vouched)
}

// Replaced is the cluster that was recovered from one, or "". Nodes of the old one that
// come back must not act as if it still were.
func Replaced(cluster string, words map[string]Word) string {
	for _, w := range words {
		if cluster != "" && w.Cluster != cluster && slices.Contains(w.Was, cluster) {
			return w.Cluster
		}
	}
	return ""
}

func foreign(own Own, w Word) bool {
	return own.Cluster != "" && w.Cluster != "" && own.Cluster != w.Cluster
}

// empty decides for a folder with nothing in it. A cluster is made only by the first of
// the founders by name, and only when each of them says that it is new: one that can't be
// asked may hold what a cluster has acknowledged.
func empty(own Own, words map[string]Word) (Verdict, string) {
	if !own.Fresh {
		return Join, "the folder took the place of one that can't be trusted"
	}
	for _, w := range words {
		if !w.Fresh {
			return Join, fmt.Sprintf("%s is of a cluster", w.ID)
		}
	}
	name := Name(own.ID)
	if !slices.Contains(own.Founders, name) {
		return Join, "the configuration names others as those who make the cluster"
	}
	var missing []string
	for _, n := range own.Founders {
		if _, ok := words[n]; !ok && n != name {
			missing = append(missing, n)
		}
	}
	if len(missing) > 0 {
		slices.Sort(missing)
		return Wait, fmt.Sprintf("%s must say whether there is a cluster yet", strings.Join(missing, ", "))
	}
	if slices.Min(own.Founders) != name {
		return Join, fmt.Sprintf("%s makes the cluster", slices.Min(own.Founders))
	}
	return Found, "all founders are new"
}

// MayJoin decides on a request for a place: refusal is "" if it may. up are the members
// that were heard of just now.
func MayJoin(id string, members, removed []string, up func(id string) bool, most int) (refusal string) {
	name := Name(id)
	if slices.Contains(removed, name) {
		return fmt.Sprintf("%s was removed: 'store add %s' lets it in again", name, name)
	}
	for _, m := range members {
		if m != id && Name(m) == name && up(m) {
			return fmt.Sprintf("%s is there with another disk, %s", name, Disk(m))
		}
	}
	if len(members) >= most {
		return fmt.Sprintf("there are %d members already", len(members))
	}
	return ""
}
