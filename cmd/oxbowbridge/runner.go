package main

import (
	"hash/fnv"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/slowstart"
	"oxbowbridge/internal/transport/ajp"
	"oxbowbridge/internal/transport/engine"
	"oxbowbridge/internal/transport/session"
)

// preemptionPause names, in the settings, runs that keep their progress when stopped.
const preemptionPause = "pause"

// runner is an exchange.Runner of this program.
type runner interface {
	exchange.Runner
	// Open connects.
	Open()
	// useAddresses connects to the addresses of another configuration. It is called in the
	// dispatcher's goroutine.
	useAddresses(*config)
}

type engineRunner struct{ *engine.Session }

func (r engineRunner) useAddresses(cfg *config) {
	if cfg.EngineAddress != "" { // else upstreams are used from the next start
		r.SetAddress(cfg.EngineAddress)
	}
}

type upstreamRunner struct{ *ajp.UpstreamPool }

func (r upstreamRunner) useAddresses(cfg *config) {
	if len(cfg.AJP.UpstreamAddresses) > 0 { // else an engine is used from the next start
		r.SetAddresses(cfg.AJP.UpstreamAddresses, cfg.AJP.UpstreamSecret)
	}
}

// newRunner returns the engine, or the AJP upstreams if there are any.
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

// upstreamSeed differs between services, also where none has a seed of its own: their slow
// starts must draw independently.
func upstreamSeed(cfg *config) uint64 {
	seed, _ := cfg.parsedSeed() // valid, as validate parsed it
	name := fnv.New64a()
	name.Write([]byte(cfg.Name))
	return seed ^ name.Sum64()
}
