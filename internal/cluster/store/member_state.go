package store

import (
	"fmt"
	"time"

	"oxbowbridge/internal/cluster/membership"
)

// memberState is a member's state as shown by GET /members.
type memberState int

const (
	memberLost    memberState = iota // its disk is lost: the node reports another disk
	memberLeaving                    // an operator or a migration is removing it
	memberLeader
	memberUp
	memberDown
)

func (m memberState) String() string {
	return [...]string{"lost", "leaving", "leader", "up", "down"}[m]
}

// memberStateOf returns a member's state. If several apply, the first in the order of the constants is
// returned. A member may change between any two states when the leader's view changes.
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

// describe returns the state's name, with the downtime in whole seconds for memberDown.
func (m memberState) describe(downFor time.Duration) string {
	if m == memberDown {
		return fmt.Sprintf("%s %s", m, downFor.Round(time.Second))
	}
	return m.String()
}
