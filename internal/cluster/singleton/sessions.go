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

// sessionExpiryInterval is how often the log's time is moved on while sessions are open.
const sessionExpiryInterval = 30 * time.Second

func sessionTask(s *store.Store) leaseclient.Task {
	return leaseclient.Task{
		Name: LeaseSessions,
		TTL:  leaseTTL,
		Run: func(ctx context.Context, l *leaseclient.Lease) error {
			return expireSessions(ctx, s, l.FencingToken())
		},
	}
}

// expireSessions commits empty requests, whose time moves the log's time on while there is no other write. Idle
// sessions end by it.
func expireSessions(ctx context.Context, s *store.Store, fence lease.FencingToken) error {
	ticker := time.NewTicker(sessionExpiryInterval)
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
			return fmt.Errorf("end sessions: %w", err)
		}
	}
}
