package store

import (
	"fmt"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
)

// Wait reasons of a node without Raft during a normal start. They are shown in the status and not logged.
const (
	openDiskWaitReason = "its disk to be opened"      // initial reason of a node
	reportsWaitReason  = "the reports of its peers"   // until a verdict or its reason is known
	raftWaitReason     = "Raft to start with its log" // after the verdict
)

// setWaitReasonSilently replaces the wait reason, which may be that of an earlier incarnation, without
// logging it.
func (s *Store) setWaitReasonSilently(text string) {
	s.waitReason.Store(&diskidentity.Reason{Text: text})
}

// setAndLogWaitReason sets what a node without Raft waits for. A reason equal to the last logged one is
// not logged again until Raft has run.
func (s *Store) setAndLogWaitReason(reason diskidentity.Reason) {
	s.waitReason.Store(&reason)
	if s.loggedWaitReason != reason.Text {
		s.loggedWaitReason = reason.Text
		s.log.Warn("store not serving", zap.String("reason", reason.Text))
	}
}

// WaitReason returns why this node does not run Raft: a noun phrase for what it waits for, or, until the
// folder is reopened, the error that ended the last incarnation. It returns "" while Raft runs.
func (s *Store) WaitReason() string {
	if s.current.Load() != nil {
		return ""
	}
	return s.waitReason.Load().String()
}

// notServingError returns ErrNotServing with the wait reason.
func (s *Store) notServingError() error {
	return fmt.Errorf("%w: it waits for %s", ErrNotServing, s.waitReason.Load())
}
