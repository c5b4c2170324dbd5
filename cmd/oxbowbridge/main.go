// Oxbowbridge is the real service: one program on sockets, round the decision
// module in rules/. It exits with 0 after a drain, 2 on a bad configuration and
// 1 on any other failure to start.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"oxbowbridge/internal/ajp"
	"oxbowbridge/internal/core"
	"oxbowbridge/internal/deadline"
	"oxbowbridge/internal/directory"
	"oxbowbridge/internal/engine"
	"oxbowbridge/internal/exchange"
	"oxbowbridge/internal/fastcgi"
	"oxbowbridge/internal/link"
	"oxbowbridge/internal/records"
	"oxbowbridge/internal/socket"
)

const (
	memoryShare  = 0.6 // of memory_mb that Go's heap is told to stay under
	requestKB    = 8   // what an open request takes here: body, result, bookkeeping
	requestShare = 3   // a third of memory_mb may be open requests
	callShare    = 8   // an eighth of the descriptors may be calls in hand
)

var errConfig = errors.New("configuration")

func main() {
	if err := run(os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, "oxbowbridge:", err)
		if errors.Is(err, errConfig) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func run(env func(string) string) error {
	cfg, err := readConfig(env)
	if err != nil {
		return fmt.Errorf("%w: %w", errConfig, err)
	}
	debug.SetMemoryLimit(int64(float64(cfg.Limits.MemoryMB) * memoryShare * (1 << 20)))
	runtime.GOMAXPROCS(2) // the core's goroutine and the event loop
	level := zap.NewAtomicLevel()
	log := logger(level).With(zap.String("name", cfg.Name))
	defer log.Sync()
	notice, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	kept, err := openKeeper(notice, cfg, level, log)
	if err != nil {
		return err
	}
	defer kept.close()
	c, x, err := wireUp(cfg, log)
	if err != nil {
		return err
	}
	kept.say("open")
	go func() {
		<-notice.Done()
		kept.say("draining")
		x.Post(exchange.Step(func() { c.Drain(time.Duration(cfg.StopMS)*time.Millisecond - kept.closing()) }))
	}()
	c.Run()
	return nil
}

// wireUp makes the parts and connects them.
func wireUp(cfg *config, log *zap.Logger) (*core.Core, *exchange.Exchange, error) {
	loop, err := socket.New()
	if err != nil {
		return nil, nil, err
	}
	began := time.Now()
	seed, _ := cfg.seed() // readConfig tried it
	x := exchange.New(int(cfg.Limits.MemoryMB) << 10 / requestKB / requestShare)
	classes := map[string]int{}
	for i, k := range cfg.Settings.Classes {
		classes[k.Name] = i
	}
	p := core.Parts{Exchange: x, Deadlines: &deadline.Set{}, Log: log, Seed: seed, Settings: &cfg.Settings,
		Now: func() time.Duration { return time.Since(began) }}
	env := link.Env{Exchange: x, Loop: loop, Due: p.Deadlines, Now: p.Now, Log: log}
	runner := runnerOf(cfg, env)
	p.Runner = runner
	if cfg.Records != "" {
		p.Calls = records.New(cfg.Records, cfg.Limits.Sockets/callShare, env)
	}
	if cfg.Lookup != "" {
		p.Directory = directory.New(cfg.Lookup, cfg.Name, env)
	}
	fronts := frontsOf(cfg, x, classes, log)
	for _, f := range fronts {
		p.Fronts = append(p.Fronts, f.front)
	}
	c, err := core.New(p)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: settings: %w", errConfig, err)
	}
	for _, f := range fronts {
		if err := f.front.Listen(loop, f.addr, cfg.Limits.Sockets*3/4/len(fronts)); err != nil {
			return nil, nil, fmt.Errorf("%w: %s: %w", errConfig, f.field, err)
		}
		log.Info("listening", zap.String("front", f.field), zap.Stringer("address", f.front.Addr()))
	}
	runner.Open()
	return c, x, nil
}

// runner is an exchange.Runner that has to be connected.
type runner interface {
	exchange.Runner
	Open()
}

func runnerOf(cfg *config, env link.Env) runner {
	if len(cfg.AJP.Upstreams) > 0 {
		info := &cfg.Settings.Info
		return ajp.NewUpstreams(cfg.AJP.Upstreams, cfg.AJP.UpstreamSecret, info.Cores, info.OwnStats, env)
	}
	return engine.New(cfg.Engine, env)
}

// listener is a front before it listens.
type listener struct {
	front interface {
		core.Front
		Listen(loop *socket.Loop, addr string, most int) error
		Addr() net.Addr
	}
	field string // of the configuration
	addr  string
}

func frontsOf(cfg *config, x *exchange.Exchange, classes map[string]int, log *zap.Logger) []listener {
	var fronts []listener
	if cfg.Listen != "" {
		fronts = append(fronts, listener{fastcgi.New(x, classes, log), "listen", cfg.Listen})
	}
	if cfg.AJP.Listen != "" {
		fronts = append(fronts, listener{ajp.NewFront(x, classes, cfg.AJP.Secret, log), "ajp.listen", cfg.AJP.Listen})
	}
	return fronts
}

func logger(level zap.AtomicLevel) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(os.Stderr), level))
}
