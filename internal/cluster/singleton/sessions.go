package singleton

import (
	"context"
	"fmt"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/leaseclient"
	"oxbowbridge/internal/cluster/store"
)

// idleSessionCheckInterval is how often expireSessions advances the log time while sessions are open.
const idleSessionCheckInterval = 30 * time.Second

func sessionTask(s *store.Store) leaseclient.Task {
	return leaseclient.Task{
		Name: SessionExpiryLease,
		TTL:  taskLeaseTTL,
		Run: func(ctx context.Context, l *leaseclient.Lease) error {
			return expireSessions(ctx, s, l.FencingToken())
		},
	}
}

// expireSessions periodically commits an empty request. Its timestamp advances the log time even without
// other writes, so that idle sessions expire.
func expireSessions(ctx context.Context, s *store.Store, fence lease.FencingToken) error {
	ticker := time.NewTicker(idleSessionCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if s.SessionCount() == 0 {
			continue
		}
		if _, err := s.ExecuteOrForward(ctx, kv.Request{Fences: []lease.FencingToken{fence}}); err != nil {
			return fmt.Errorf("expire idle sessions: %w", err)
		}
	}
}
