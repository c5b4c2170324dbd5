package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

const (
	joinRetryInterval = 500 * time.Millisecond
	// removedConfirmations is how many consecutive checks, one at each pollInterval, must find that this disk
	// is not a member before the node acts on it. This node's log and the peers' reports are read at
	// different times, so that a single check may compare an older configuration with a newer one.
	removedConfirmations = 3
)

// supervisor monitors one incarnation until it has to end.
type supervisor struct {
	store           *Store
	inc             *incarnation
	savedAt         time.Time // when the watermarks were last saved
	joinRequestedAt time.Time
	removedCount    int // consecutive checks that found this disk removed
}

// supervise requests to join while this disk is not a member, saves the observed watermarks of peers'
// disks, and returns why the incarnation has to end: one of the errors in errors.go, or that of ctx.
func (s *Store) supervise(ctx context.Context, inc *incarnation, verdict diskidentity.Verdict) error {
	inc.wasMember.Store(startsAsMember(verdict))
	sup := &supervisor{store: s, inc: inc}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-inc.failure:
			return fmt.Errorf("%w: %w", errDiskFailed, err)
		case <-ticker.C:
		}
		if err := sup.check(ctx); err != nil {
			return err
		}
	}
}

// check is one round of supervise. Its error ends the incarnation.
func (sup *supervisor) check(ctx context.Context) error {
	s, inc := sup.store, sup.inc
	if err := inc.storage.ReadOnlyReason(); err != nil {
		return fmt.Errorf("%w: %w", errDiskFailed, err)
	}
	if time.Since(sup.savedAt) >= watermarkSaveInterval {
		sup.savedAt = time.Now()
		s.peers.saveWatermarks(inc)
	}
	if successor := diskidentity.SuccessorCluster(s.clusterID.get(), s.peers.attestations().recent); successor != "" {
		return fmt.Errorf("%w: it is %s now", errClusterReplaced, successor)
	}
	conf := inc.configuration()
	s.pollMembers(conf)
	if err := sup.checkDivergence(conf); err != nil {
		return err
	}
	_, isMember := findServer(conf, inc.memberID)
	if isMember && !inc.wasMember.Swap(true) {
		s.log.Info("joined the cluster", zap.String("member", inc.memberID))
	}
	if !inc.wasMember.Load() {
		if s.mustBootstrap(inc) {
			return errNoCluster
		}
		if time.Since(sup.joinRequestedAt) >= joinRetryInterval {
			sup.joinRequestedAt = time.Now()
			s.tryJoin(ctx, inc)
		}
		return nil
	}
	return sup.checkRemoved(conf)
}

// mustBootstrap reports whether this joining node has to bootstrap the cluster instead. This occurs if the
// peer that seemed to belong to a cluster no longer does, for example because its folder was deleted.
func (s *Store) mustBootstrap(inc *incarnation) bool {
	disk := s.currentDisk.Load()
	if watermark, err := inc.storage.Watermark(); disk == nil || err != nil || watermark.LastIndex > 0 {
		return false
	}
	verdict, _ := diskidentity.Decide(disk.local, s.peers.attestations().recent)
	return verdict == diskidentity.VerdictBootstrap
}

// checkDivergence compares checksums of this node's state with those of the other voters.
func (sup *supervisor) checkDivergence(conf raftstorage.Configuration) error {
	s, inc := sup.store, sup.inc
	index, diverged := s.state.recentChecksums().Diverged(s.peers.checksums(conf, inc.memberID))
	if !diverged {
		return nil
	}
	// divergedKey makes openStorage move the folder aside.
	err := inc.storage.PutLocal(divergedKey, []byte("1"))
	return errors.Join(fmt.Errorf("%w: at entry %d of the log", errDiverged, index), err)
}

// checkRemoved ends the incarnation of a removed member, and gives its disk a new identity.
func (sup *supervisor) checkRemoved(conf raftstorage.Configuration) error {
	if !sup.store.isRemoved(sup.inc, conf) {
		sup.removedCount = 0
		return nil
	}
	sup.removedCount++
	if sup.removedCount < removedConfirmations {
		return nil
	}
	_, err := renewDiskID(sup.inc.storage, sup.store.self.Name)
	return errors.Join(errRemoved, err)
}

// isRemoved reports whether this node's log, or a peer with a later configuration, shows that this disk is
// not a member.
func (s *Store) isRemoved(inc *incarnation, conf raftstorage.Configuration) bool {
	if inc.isLeader() {
		return false
	}
	if _, isMember := findServer(conf, inc.memberID); !isMember {
		return true
	}
	for _, a := range s.peers.attestations().recent {
		if local := s.clusterID.get(); local != "" && a.Cluster != local {
			continue
		}
		if a.ConfigIndex > conf.Index && len(a.Members) > 0 && !slices.Contains(a.Members, inc.memberID) {
			return true
		}
	}
	return false
}

// tryJoin requests membership, and logs each new reason for a rejection.
func (s *Store) tryJoin(ctx context.Context, inc *incarnation) {
	err := s.peers.requestJoin(ctx, inc)
	if err == nil || ctx.Err() != nil {
		return
	}
	rejection := err.Error()
	if old := inc.joinRejection.Swap(&rejection); old == nil || *old != rejection {
		s.log.Warn("join request not granted", zap.Error(err))
	}
}
