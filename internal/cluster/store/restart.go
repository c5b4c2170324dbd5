package store

import "time"

const (
	// minRestartDelay is the pause before the second consecutive restart. The first restart has no pause.
	minRestartDelay = time.Second
	// maxRestartDelay bounds the pause, which doubles with each consecutive restart. An incarnation that
	// lasts at least this long resets the backoff, so that the next restart has no pause.
	maxRestartDelay = 8 * time.Second
)

// restartBackoff limits the rate of incarnations, because each one writes to the disk and to the service's
// log, even if it fails immediately.
type restartBackoff struct {
	delay time.Duration // pause before the next restart
}

// next returns the pause after an incarnation that lasted the given time.
func (b *restartBackoff) next(lasted time.Duration) time.Duration {
	if lasted >= maxRestartDelay {
		b.delay = 0
	}
	delay := b.delay
	b.delay = min(max(2*delay, minRestartDelay), maxRestartDelay)
	return delay
}

// pause waits for the delay, or until the Store is closed.
func (s *Store) pause(delay time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(delay):
	}
}
