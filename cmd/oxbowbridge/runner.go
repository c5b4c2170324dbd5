package main

import (
	"hash/fnv"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/slowstart"
	"oxbowbridge/internal/transport/ajp"
	"oxbowbridge/internal/transport/engine"
	"oxbowbridge/internal/transport/session"
)

// preemptionPause is the value of the setting family_info.halt for runs that keep their
// progress when they are preempted.
const preemptionPause = "pause"

// runner is an exchange.Runner that can connect and change its addresses.
type runner interface {
	exchange.Runner
	// Open starts to connect.
	Open()
	// setAddresses connects to the addresses of an updated configuration. It is called in the
	// dispatcher's goroutine.
	setAddresses(*config)
}

type engineRunner struct{ *engine.Session }

func (r engineRunner) setAddresses(cfg *config) {
	if cfg.EngineAddress != "" { // otherwise the configuration has upstreams, used from the next start
		r.SetAddress(cfg.EngineAddress)
	}
}

type upstreamRunner struct{ *ajp.UpstreamPool }

func (r upstreamRunner) setAddresses(cfg *config) {
	if len(cfg.AJP.UpstreamAddresses) > 0 { // otherwise the configuration has an engine, used from the next start
		r.SetAddresses(cfg.AJP.UpstreamAddresses, cfg.AJP.UpstreamSecret)
	}
}

// newRunner returns a runner for the AJP upstreams if any are configured, otherwise for the
// engine.
func newRunner(cfg *config, sessionConfig session.Config) runner {
	info := &cfg.Settings.Server
	if len(cfg.AJP.UpstreamAddresses) == 0 {
		return engineRunner{engine.New(cfg.EngineAddress, info.Preemption == preemptionPause, sessionConfig)}
	}
	return upstreamRunner{ajp.NewUpstreamPool(cfg.AJP.UpstreamAddresses, cfg.AJP.UpstreamSecret, info.GaugeNames,
		slowStartConfig(cfg), upstreamSeed(cfg), sessionConfig)}
}

func slowStartConfig(cfg *config) slowstart.Config {
	safety := &cfg.Settings.Safety
	return slowstart.Config{
		Cores:           cfg.Settings.Server.Cores,
		MaxRunsPerCore:  safety.MaxRunsPerCore,
		MinSpeed:        safety.SlowStartMinSpeed,
		Duration:        safety.SlowStartDuration,
		AveragingWindow: safety.OverloadWindow,
		Processes:       cfg.Settings.Servers,
	}
}

// upstreamSeed returns a random seed that depends on the service name: the slow starts of two
// services must be independent even if neither configures a seed.
func upstreamSeed(cfg *config) uint64 {
	seed, _ := cfg.parsedSeed() // validate has checked it
	name := fnv.New64a()
	name.Write([]byte(cfg.Name))
	return seed ^ name.Sum64()
}
