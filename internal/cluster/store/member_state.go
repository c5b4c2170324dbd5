package store

import (
	"fmt"
	"time"

	"oxbowbridge/internal/cluster/membership"
)

// memberState is what a member does, as GET /members names it.
type memberState int

const (
	memberLost    memberState = iota // its disk is lost: the node has another one
	memberLeaving                    // it is to be removed
	memberLeader
	memberUp
	memberDown
)

func (m memberState) String() string {
	return [...]string{"lost", "leaving", "leader", "up", "down"}[m]
}

// memberStateOf is a member's state. The first one that applies counts, in the order of the
// constants; a member moves between any two of them as the leader's view changes.
func memberStateOf(m membership.Member, leader string) memberState {
	switch {
	case m.DiskLost:
		return memberLost
	case m.Leaving:
		return memberLeaving
	case m.ID == leader:
		return memberLeader
	case m.Up:
		return memberUp
	}
	return memberDown
}

// describe adds to memberDown for how long, in whole seconds.
func (m memberState) describe(downFor time.Duration) string {
	if m == memberDown {
		return fmt.Sprintf("%s %s", m, downFor.Round(time.Second))
	}
	return m.String()
}
