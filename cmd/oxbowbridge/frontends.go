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
	// effectDeduplicated is the value of the setting classes.effect for classes whose requests
	// have an idempotency key.
	effectDeduplicated = "deduplicated"
	// listenRetryInterval is the time between attempts to listen on an address that is in
	// use.
	listenRetryInterval = 50 * time.Millisecond
	// predecessorExitMargin is the time that a previous process of this service may take
	// to exit after it was killed at the end of its stop_ms.
	predecessorExitMargin = time.Second
)

// configuredFrontend is a frontend with its address and its field in the configuration.
type configuredFrontend struct {
	listener interface {
		dispatch.Frontend
		Listen(loop *eventloop.Loop, addr string, maxConns int, pool *fdquota.ConnPool) error
		LimitMemory(frontend.MemoryQuotas)
		Addr() net.Addr
	}
	field   string // path in the configuration
	address string
}

// newFrontends returns the configured frontends. They do not listen yet.
func newFrontends(cfg *config, x *exchange.Exchange, log *zap.Logger) []configuredFrontend {
	classes := frontendClasses(cfg)
	var frontends []configuredFrontend
	if cfg.ListenAddress != "" {
		frontends = append(frontends, configuredFrontend{fastcgi.New(x, classes, log), "listen", cfg.ListenAddress})
	}
	if cfg.AJP.ListenAddress != "" {
		frontends = append(frontends, configuredFrontend{ajp.NewFrontend(x, classes, cfg.AJP.Secret, log), "ajp.listen", cfg.AJP.ListenAddress})
	}
	quotas := memoryQuotas(cfg, x)
	for _, f := range frontends {
		f.listener.LimitMemory(quotas)
	}
	return frontends
}

// frontendClasses returns the request classes by name.
func frontendClasses(cfg *config) map[string]frontend.Class {
	classes := map[string]frontend.Class{}
	for i, class := range cfg.Settings.Classes {
		classes[class.Name] = frontend.Class{
			Index:               i,
			NeedsIdempotencyKey: class.ExecutionSemantics == effectDeduplicated,
			Deadline:            class.Deadline,
		}
	}
	return classes
}

// listenAll starts to listen on all frontends and divides the caller connections equally
// between them. If the context shutdown ends, the wait for an address in use is aborted.
func listenAll(shutdown context.Context, cfg *config, frontends []configuredFrontend, loop *eventloop.Loop, pool *fdquota.ConnPool, log *zap.Logger) error {
	maxWait := time.Duration(cfg.DrainTimeoutMS)*time.Millisecond + predecessorExitMargin
	for _, f := range frontends {
		listen := func() error { return f.listener.Listen(loop, f.address, pool.MaxCallers()/len(frontends), pool) }
		if err := f.listenWithRetry(shutdown, listen, maxWait, log); err != nil {
			return fmt.Errorf("%w: %s: %w", errConfig, f.field, err)
		}
		log.Info("listening", zap.String("config_field", f.field), zap.Stringer("address", f.listener.Addr()))
	}
	return nil
}

// listenWithRetry retries while the address is in use, for at most maxWait. The previous
// process of this service may still listen on it and exits by the end of its stop_ms.
func (f configuredFrontend) listenWithRetry(shutdown context.Context, listen func() error, maxWait time.Duration, log *zap.Logger) error {
	deadline := time.Now().Add(maxWait)
	for warned := false; ; warned = true {
		err := listen()
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
		if !warned {
			log.Warn("address in use, retrying", zap.String("config_field", f.field),
				zap.String("address", f.address), zap.Int64("max_wait_ms", maxWait.Milliseconds()))
		}
		select {
		case <-shutdown.Done():
			return err
		case <-time.After(listenRetryInterval):
		}
	}
}
