package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/dispatch"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/records"
	"oxbowbridge/internal/transport/registry"
	"oxbowbridge/internal/transport/session"
)

const (
	// dependencyShared is the value of the setting family_info.below for a dependency that all
	// services share.
	dependencyShared = "shared"
	// dependencyNone is the value of the setting family_info.below for runs that make no calls.
	dependencyNone = "none"
)

// service holds the components of the process that handle requests.
type service struct {
	started             time.Time // time zero of the dispatcher's clock
	dispatcher          *dispatch.Dispatcher
	exchange            *exchange.Exchange
	log                 *zap.Logger
	frontendAddrs       []net.Addr    // in the order of newFrontends
	setBackendAddresses func(*config) // applies the addresses of the runner, records service and registry; called in the dispatcher's goroutine
}

// newService creates the components and starts to listen. If the context shutdown ends, the
// wait for an address in use is aborted.
func newService(shutdown context.Context, cfg *config, log *zap.Logger) (*service, error) {
	quotas := divideDescriptors(cfg, log)
	pool := fdquota.NewConnPool(quotas)
	loop, err := eventloop.New(quotas.Lingering)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	sessionConfig := session.Config{
		Exchange: exchange.New(maxOpenRequests(cfg)),
		Loop:     loop,
		Timers:   &timerqueue.Queue{},
		Now:      func() time.Duration { return time.Since(started) },
		Log:      log,
	}
	if classes := cfg.classesWithFailingCalls(); len(classes) > 0 {
		log.Warn("no records service configured, calls will fail", zap.Strings("classes", classes))
	}
	runner := newRunner(cfg, sessionConfig)
	recordsService := records.New(cfg.RecordsAddress, pool, callLinger(cfg), sessionConfig)
	registration := registry.New(cfg.RegistryAddress, cfg.Name, sessionConfig)
	frontends := newFrontends(cfg, sessionConfig.Exchange, log)
	d := dispatch.Config{
		Exchange:               sessionConfig.Exchange,
		Timers:                 sessionConfig.Timers,
		Runner:                 runner,
		RunnerCannotPause:      len(cfg.AJP.UpstreamAddresses) > 0,
		Dependency:             recordsService,
		Registry:               registration,
		Lingering:              loop,
		MaxIdempotencyKeyBytes: maxIdempotencyKeyBytes(cfg),
		Now:                    sessionConfig.Now,
		Log:                    log,
		SiteSettings:           &cfg.Settings,
	}
	for _, f := range frontends {
		d.Frontends = append(d.Frontends, f.listener)
	}
	dispatcher, err := dispatch.New(d)
	if err != nil {
		return nil, fmt.Errorf("%w: settings: %w", errConfig, err)
	}
	if err := listenAll(shutdown, cfg, frontends, loop, pool, log); err != nil {
		return nil, err
	}
	runner.Open()
	s := &service{started: started, dispatcher: dispatcher, exchange: sessionConfig.Exchange, log: log}
	for _, f := range frontends {
		s.frontendAddrs = append(s.frontendAddrs, f.listener.Addr())
	}
	s.setBackendAddresses = func(updated *config) {
		runner.setAddresses(updated)
		recordsService.SetAddress(updated.RecordsAddress)
		registration.SetAddress(updated.RegistryAddress)
	}
	return s, nil
}

// reload reads the configuration file and returns the configuration that is now in effect. A
// file that is invalid or incomplete changes nothing.
func (s *service) reload(old *config, env func(string) string) *config {
	cfg, err := readUpdatedConfig(old, env)
	if err != nil {
		s.log.Error("configuration rejected", zap.Error(err))
		return old
	}
	s.exchange.Post(exchange.Callback(func() { s.setBackendAddresses(cfg) }))
	applied, afterRestart := old.changedFields(cfg)
	s.log.Info("configuration reloaded", zap.Strings("changed", applied), zap.Strings("at_next_start", afterRestart))
	cfg.settingsFromStore = old.settingsFromStore
	return cfg
}

// drain starts the drain in the dispatcher's goroutine. The process must exit within timeout
// after signaledAt, the time of the shutdown signal.
func (s *service) drain(signaledAt time.Time, timeout time.Duration) {
	s.exchange.Post(exchange.Callback(func() { s.dispatcher.Drain(signaledAt.Sub(s.started), timeout) }))
}

// callLinger returns how long an abandoned call stays in flight at a dependency that all
// services share, or 0 if the dependency is not shared.
func callLinger(cfg *config) time.Duration {
	if cfg.Settings.Server.Dependency != dependencyShared {
		return 0
	}
	return cfg.Settings.Server.CallLinger
}
