package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/maintenance/agent"
	"oxbowbridge/internal/proxy/exchange"
)

const gaugeWait = 200 * time.Millisecond // for the core to say how busy it is

// worker is the service's part in an order of work. Without its section it does nothing.
type worker struct {
	agent  *agent.Agent
	s      *service
	kept   *keeper
	leaves chan struct{} // closed when it is to leave
	once   sync.Once
	ended  chan struct{}
	left   bool
}

func openWorker(ctx context.Context, cfg *config, kept *keeper, s *service, log *zap.Logger) *worker {
	w := &worker{s: s, kept: kept, leaves: make(chan struct{}), ended: make(chan struct{})}
	if cfg.Maintenance == nil {
		close(w.ended)
		return w
	}
	own := ""
	if kept.store != nil {
		own = kept.store.AdminAddress()
	}
	w.agent = agent.New(*cfg.Maintenance, cfg.Name, cfg.Limits.Cores, own, w, log)
	go func() {
		defer close(w.ended)
		w.left = w.agent.Run(ctx)
	}()
	return w
}

// Utilization asks the core.
func (w *worker) Utilization() (busy float64, known, warm bool) {
	said := make(chan func() (float64, bool, bool), 1)
	w.s.exchange.Post(exchange.Callback(func() {
		b, k, i := w.s.dispatcher.Load()
		said <- func() (float64, bool, bool) { return b, k, i }
	}))
	select {
	case say := <-said:
		return say()
	case <-time.After(gaugeWait):
		return 1, false, false
	}
}

// StartDrain has the service drain, as on SIGTERM, and another node lead the store.
func (w *worker) StartDrain() {
	if w.kept.store != nil {
		w.kept.store.StepDown()
	}
	w.once.Do(func() { close(w.leaves) })
}

// out ends the service's turn once it has drained. With a command, the program starts
// again in the same process when that has ended well.
func (w *worker) out(ctx context.Context) error {
	if w.agent == nil {
		return nil
	}
	select {
	case <-w.leaves:
	default:
		<-w.ended // on SIGTERM it only ends
		w.agent.Close()
		return nil
	}
	<-w.ended
	again, err := w.agent.PerformMaintenance()
	w.agent.Close()
	if err != nil || !again || ctx.Err() != nil {
		return err
	}
	w.kept.close()
	own, err := os.Executable()
	if err == nil {
		err = syscall.Exec(own, os.Args, os.Environ())
	}
	return fmt.Errorf("start again: %w", err)
}
