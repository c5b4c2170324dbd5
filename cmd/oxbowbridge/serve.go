package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"oxbowbridge/internal/logsink"
	"oxbowbridge/internal/proxy/dispatch"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/proxy/slowstart"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/ajp"
	"oxbowbridge/internal/transport/engine"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/fastcgi"
	"oxbowbridge/internal/transport/frontend"
	"oxbowbridge/internal/transport/records"
	"oxbowbridge/internal/transport/registry"
	"oxbowbridge/internal/transport/session"
)

const (
	memoryShare  = 0.6 // of memory_mb that Go's heap is told to stay under
	requestKB    = 8   // what an open request takes here: body, result, bookkeeping
	requestShare = 3   // a third of memory_mb may be open requests
	keysShare    = 5   // and a fifth replay keys with their results: with the open requests less than memoryShare
	storeShare   = 8   // an eighth of the descriptors is for the replicated store, if there is one
	linesMost    = 50  // of one message in a second, after which
	linesThen    = 100 // only one of so many is written

	listenAgain      = 50 * time.Millisecond // between two tries of an address that is in use
	predecessorSlack = time.Second           // beyond stop_ms, for the end of a process that was killed
)

var errConfig = errors.New("configuration")

// run serves, until a drain is over.
func serve(env func(string) string) error {
	// From the first moment to the last no signal ends the program in its own way: a
	// SIGHUP may come before the file is read or during a drain, a SIGTERM before
	// anything listens, and one more at any time.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	notice, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// Without this the Go runtime ends the process when whoever reads its log goes away.
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := readConfig(env)
	if err != nil {
		return fmt.Errorf("%w: %w", errConfig, err)
	}
	debug.SetMemoryLimit(int64(float64(cfg.Limits.MemoryMB) * memoryShare * (1 << 20)))
	runtime.GOMAXPROCS(2) // the core's goroutine and the event loop
	level := zap.NewAtomicLevel()
	log := newLogger(level).With(zap.String("name", cfg.Name))
	defer log.Sync()
	kept, err := openKeeper(notice, cfg, level, log)
	if err != nil {
		return err
	}
	defer kept.close()
	s, err := newService(notice, cfg, log)
	if notice.Err() != nil && errors.Is(err, syscall.EADDRINUSE) {
		return nil // nothing was ever taken
	}
	if err != nil {
		return err
	}
	kept.say("open")
	worker := openWorker(notice, cfg, kept, s, log)
	var current atomic.Pointer[config]
	current.Store(cfg)
	// Beside the wait for the notice, which a file that can't be read for a while must not
	// hold up; also while it drains, as what is in hand may need the new addresses.
	go func() {
		for range hangup {
			current.Store(s.reload(current.Load(), env))
		}
	}()
	go func() {
		select { // the first notice counts
		case <-notice.Done():
		case <-worker.leaves:
		}
		noticed := time.Now()
		kept.say("draining")
		stop := time.Duration(current.Load().DrainTimeoutMS)*time.Millisecond - kept.closing()
		s.exchange.Post(exchange.Callback(func() { s.dispatcher.Drain(time.Since(noticed), stop) }))
	}()
	s.dispatcher.Run()
	return worker.out(notice)
}

// service is the program's parts once they are connected.
type service struct {
	dispatcher    *dispatch.Dispatcher
	exchange      *exchange.Exchange
	log           *zap.Logger
	frontendAddrs []net.Addr    // of the fronts, in the order of the configuration
	moveTo        func(*config) // to other addresses, in the core's goroutine
}

// reload reads the file again, and returns the configuration that is in force.
// One that would not start changes nothing.
func (s *service) reload(old *config, env func(string) string) *config {
	cfg, err := readConfig(env)
	if err != nil {
		s.log.Error("configuration not taken", zap.Error(err))
		return old
	}
	s.exchange.Post(exchange.Callback(func() { s.moveTo(cfg) }))
	s.log.Info("configuration taken", zap.Strings("changed", old.changedFields(cfg, true)),
		zap.Strings("at_next_start", old.changedFields(cfg, false)))
	cfg.settingsFromStore = old.settingsFromStore
	return cfg
}

// wireUp makes the parts and connects them. A notice ends its wait for an address.
func newService(notice context.Context, cfg *config, log *zap.Logger) (*service, error) {
	shares := divideDescriptors(cfg, log)
	pool := fdquota.NewPool(shares)
	loop, err := eventloop.New(shares.Lingering)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	seed, _ := cfg.parsedSeed() // readConfig tried it
	x := exchange.New(int(cfg.Limits.MemoryMB) << 10 / requestKB / requestShare)
	classes := map[string]frontend.Class{}
	for i, k := range cfg.Settings.Classes {
		classes[k.Name] = frontend.Class{Index: i, NeedsIdempotencyKey: k.Effect == "deduplicated"}
	}
	p := dispatch.Config{Exchange: x, Lingering: loop, MaxIdempotencyKeyBytes: int(cfg.Limits.MemoryMB) << 20 / keysShare, Timers: &timerqueue.Queue{}, Log: log, Seed: seed, Settings: &cfg.Settings,
		Now: func() time.Duration { return time.Since(began) }}
	env := session.Dependencies{Exchange: x, Loop: loop, Timers: p.Timers, Now: p.Now, Log: log}
	runner := runnerOf(cfg, env)
	var lingers time.Duration
	if cfg.Settings.Server.Dependency == "shared" {
		lingers = cfg.Settings.Server.CallLinger
	}
	calls := records.New(cfg.RecordsAddress, pool, lingers, env)
	list := registry.New(cfg.RegistryAddress, cfg.Name, env)
	p.Runner, p.Dependency, p.Registry = runner, calls, list
	fronts := frontsOf(cfg, x, classes, log)
	for _, f := range fronts {
		p.Frontends = append(p.Frontends, f.front)
	}
	c, err := dispatch.New(p)
	if err != nil {
		return nil, fmt.Errorf("%w: settings: %w", errConfig, err)
	}
	for _, f := range fronts {
		wait := time.Duration(cfg.DrainTimeoutMS)*time.Millisecond + predecessorSlack
		if err := f.listen(notice, loop, pool.MaxCallers()/len(fronts), pool, wait, log); err != nil {
			return nil, fmt.Errorf("%w: %s: %w", errConfig, f.field, err)
		}
		log.Info("listening", zap.String("front", f.field), zap.Stringer("address", f.front.Addr()))
	}
	runner.Open()
	s := &service{dispatcher: c, exchange: x, log: log}
	for _, f := range fronts {
		s.frontendAddrs = append(s.frontendAddrs, f.front.Addr())
	}
	s.moveTo = func(now *config) {
		runner.moveTo(now)
		calls.SetAddress(now.RecordsAddress)
		list.SetAddress(now.RegistryAddress)
	}
	return s, nil
}

// divideDescriptors divides what the configuration and the system allow.
func divideDescriptors(cfg *config, log *zap.Logger) fdquota.Quotas {
	use := fdquota.Usage{Limit: cfg.Limits.Sockets, AlreadyOpen: openDescriptors()}
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil && system.Cur < uint64(use.Limit) {
		use.Limit = int(system.Cur)
	}
	for _, addr := range []string{cfg.ListenAddress, cfg.AJP.ListenAddress} {
		if addr != "" {
			use.Listeners++
		}
	}
	if cfg.Store != nil {
		use.Reserved = use.Limit / storeShare
	}
	shares := fdquota.Divide(use)
	if shares.BelowMinimum {
		log.Warn("few descriptors are left for connections", zap.Int("limit", use.Limit), zap.Int("open", use.AlreadyOpen))
	}
	return shares
}

// openDescriptors is how many descriptors this process has, inherited ones included.
func openDescriptors() int {
	const guess = 16 // where the system does not tell
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return guess
	}
	return len(list) - 1 // the folder's own, while it was read
}

// runner is an exchange.Runner that has to be connected, and to follow the file.
type runner interface {
	exchange.Runner
	Open()
	moveTo(*config)
}

type engineRunner struct{ *engine.Session }

func (r engineRunner) moveTo(cfg *config) {
	if cfg.EngineAddress != "" { // to upstreams, at the next start
		r.SetAddress(cfg.EngineAddress)
	}
}

type upstreamRunner struct{ *ajp.UpstreamPool }

func (r upstreamRunner) moveTo(cfg *config) {
	if len(cfg.AJP.UpstreamAddresses) > 0 { // to an engine, at the next start
		r.SetAddresses(cfg.AJP.UpstreamAddresses, cfg.AJP.UpstreamSecret)
	}
}

func runnerOf(cfg *config, env session.Dependencies) runner {
	if len(cfg.AJP.UpstreamAddresses) > 0 {
		info, safety := &cfg.Settings.Server, &cfg.Settings.Safety
		limits := slowstart.Config{Cores: info.Cores, WarmRunsPerCore: safety.MaxRunsPerCore, MinSpeedFraction: safety.SlowStartMinSpeed, WarmUp: safety.SlowStartDuration,
			AveragingWindow: safety.OverloadWindow, Processes: cfg.Settings.Servers}
		return upstreamRunner{ajp.NewUpstreamPool(cfg.AJP.UpstreamAddresses, cfg.AJP.UpstreamSecret, info.GaugeNames, limits, upstreamSeed(cfg), env)}
	}
	return engineRunner{engine.New(cfg.EngineAddress, cfg.Settings.Server.Preemption == "pause", env)}
}

// upstreamSeed differs between the services of a fleet also where none is given a seed.
func upstreamSeed(cfg *config) uint64 {
	seed, _ := cfg.parsedSeed() // readConfig tried it
	name := fnv.New64a()
	name.Write([]byte(cfg.Name))
	return seed ^ name.Sum64()
}

// listener is a front before it listens.
type listener struct {
	front interface {
		dispatch.Frontend
		Listen(loop *eventloop.Loop, addr string, most int, pool *fdquota.Pool) error
		Addr() net.Addr
	}
	field string // of the configuration
	addr  string
}

// listen opens the front's address. Another process that holds it may be this one's
// predecessor, which is gone once its own stop_ms are over: until then it tries again.
func (f listener) listen(notice context.Context, loop *eventloop.Loop, most int, pool *fdquota.Pool, wait time.Duration, log *zap.Logger) error {
	deadline := time.Now().Add(wait)
	for warned := false; ; warned = true {
		err := f.front.Listen(loop, f.addr, most, pool)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
		if !warned {
			log.Warn("address in use, trying again", zap.String("front", f.field), zap.String("address", f.addr), zap.Duration("for", wait))
		}
		select {
		case <-notice.Done():
			return err
		case <-time.After(listenAgain):
		}
	}
}

func frontsOf(cfg *config, x *exchange.Exchange, classes map[string]frontend.Class, log *zap.Logger) []listener {
	var fronts []listener
	if cfg.ListenAddress != "" {
		fronts = append(fronts, listener{fastcgi.New(x, classes, log), "listen", cfg.ListenAddress})
	}
	if cfg.AJP.ListenAddress != "" {
		fronts = append(fronts, listener{ajp.NewFrontend(x, classes, cfg.AJP.Secret, log), "ajp.listen", cfg.AJP.ListenAddress})
	}
	return fronts
}

func newLogger(level zap.AtomicLevel) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	lines := zapcore.NewCore(zapcore.NewJSONEncoder(enc), logsink.New(os.Stderr), level)
	// Guards the log, and the core that writes it, against callers that fail by the thousand.
	return zap.New(zapcore.NewSamplerWithOptions(lines, time.Second, linesMost, linesThen))
}
