package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/dispatch"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/transport/ajp"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/fastcgi"
	"oxbowbridge/internal/transport/frontend"
)

const (
	// effectDeduplicated is the effect, as the settings name it, of classes whose requests
	// have an idempotency key.
	effectDeduplicated = "deduplicated"
	// listenRetryInterval is the time between two attempts to listen on an address in use.
	listenRetryInterval = 50 * time.Millisecond
	// predecessorExitSlack is what a predecessor that was killed at its stop_ms may take
	// beyond them to end.
	predecessorExitSlack = time.Second
)

// configuredFrontend is one frontend with its place in the configuration.
type configuredFrontend struct {
	listener interface {
		dispatch.Frontend
		Listen(loop *eventloop.Loop, addr string, maxConns int, pool *fdquota.ConnPool) error
		Addr() net.Addr
	}
	field   string // of the configuration
	address string
}

// newFrontends returns the configured frontends. None listens yet.
func newFrontends(cfg *config, x *exchange.Exchange, log *zap.Logger) []configuredFrontend {
	classes := frontendClasses(cfg)
	var frontends []configuredFrontend
	if cfg.ListenAddress != "" {
		frontends = append(frontends, configuredFrontend{fastcgi.New(x, classes, log), "listen", cfg.ListenAddress})
	}
	if cfg.AJP.ListenAddress != "" {
		frontends = append(frontends, configuredFrontend{ajp.NewFrontend(x, classes, cfg.AJP.Secret, log), "ajp.listen", cfg.AJP.ListenAddress})
	}
	return frontends
}

// frontendClasses are the classes by the names that requests have.
func frontendClasses(cfg *config) map[string]frontend.Class {
	classes := map[string]frontend.Class{}
	for i, class := range cfg.Settings.Classes {
		classes[class.Name] = frontend.Class{Index: i, NeedsIdempotencyKey: class.Effect == effectDeduplicated}
	}
	return classes
}

// listenAll has all frontends listen, with equal parts of the caller connections. A notice
// of the end stops the wait for an address in use.
func listenAll(notice context.Context, cfg *config, frontends []configuredFrontend, loop *eventloop.Loop, pool *fdquota.ConnPool, log *zap.Logger) error {
	maxWait := time.Duration(cfg.DrainTimeoutMS)*time.Millisecond + predecessorExitSlack
	for _, f := range frontends {
		listen := func() error { return f.listener.Listen(loop, f.address, pool.MaxCallers()/len(frontends), pool) }
		if err := f.listenWhenFree(notice, listen, maxWait, log); err != nil {
			return fmt.Errorf("%w: %s: %w", errConfig, f.field, err)
		}
		log.Info("listening", zap.String("config_field", f.field), zap.Stringer("address", f.listener.Addr()))
	}
	return nil
}

// listenWhenFree retries while the address is in use, for at most maxWait: the process that
// has it may be this one's predecessor, which ends once its own stop_ms are over.
func (f configuredFrontend) listenWhenFree(notice context.Context, listen func() error, maxWait time.Duration, log *zap.Logger) error {
	deadline := time.Now().Add(maxWait)
	for warned := false; ; warned = true {
		err := listen()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
		if !warned {
			log.Warn("address in use, trying again", zap.String("config_field", f.field),
				zap.String("address", f.address), zap.Int64("max_wait_ms", maxWait.Milliseconds()))
		}
		select {
		case <-notice.Done():
			return err
		case <-time.After(listenRetryInterval):
		}
	}
}
