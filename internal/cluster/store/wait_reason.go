package store

import (
	"fmt"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
)

// What a node without Raft waits for while nothing is wrong. These are shown, and not logged.
const (
	openDiskWaitReason = "its disk to be opened"      // of a new node
	reportsWaitReason  = "the reports of its peers"   // until a verdict or its reason is known
	raftWaitReason     = "Raft to start with its log" // after the verdict
)

// setWaitReasonSilently replaces the wait reason, which may be that of an earlier incarnation, without a line of the log.
func (s *Store) setWaitReasonSilently(text string) {
	s.waitReason.Store(&diskidentity.Reason{Text: text})
}

// setAndLogWaitReason notes what a node without Raft waits for. It logs each reason once, until Raft has run.
func (s *Store) setAndLogWaitReason(reason diskidentity.Reason) {
	s.waitReason.Store(&reason)
	if s.loggedWaitReason != reason.Text {
		s.loggedWaitReason = reason.Text
		s.log.Warn("store not serving", zap.String("reason", reason.Text))
	}
}

// WaitReason is what keeps this node from running Raft: a noun phrase for what it waits for, or the
// error that ended the last incarnation, until the folder is open again. It is "" while Raft runs.
func (s *Store) WaitReason() string {
	if s.current.Load() != nil {
		return ""
	}
	return s.waitReason.Load().String()
}

// notServingError is ErrNotServing with the wait reason.
func (s *Store) notServingError() error {
	return fmt.Errorf("%w: it waits for %s", ErrNotServing, s.waitReason.Load())
}
