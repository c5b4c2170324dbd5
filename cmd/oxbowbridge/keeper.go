package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/singleton"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeadmin"
	"oxbowbridge/internal/proxy/dispatch"
	"oxbowbridge/internal/simproto"
)

// The keys of the store that the program reads and writes.
const (
	keySettings = "config/settings"  // in place of the file's settings, from the next start
	keyLevel    = "config/log_level" // "debug", "info", "warn" or "error", at once
	keyState    = "state/"           // and the service's name: what it does
)

const (
	// startWait is how long a start waits for the other nodes. Nine in ten restarted services
	// have to be ready within 10 s, also when the store can't be reached.
	startWait = 4 * time.Second
	sayMost   = 10 * time.Second // that one write of what the service does may take
	sayAgain  = time.Second
)

// keeper is the program's use of the store. Without one it does nothing.
type keeper struct {
	store *store.Store
	name  string
	log   *zap.Logger
	says  chan string
	tasks *singleton.Tasks

	caught atomic.Bool // this node has read all that was committed when it started
}

func openKeeper(ctx context.Context, cfg *config, level zap.AtomicLevel, log *zap.Logger) (*keeper, error) {
	if cfg.Store == nil {
		return &keeper{}, nil
	}
	s, order, err := storeadmin.Open(*cfg.Store, log.Named("store"))
	if err != nil {
		return nil, fmt.Errorf("%w: store: %w", errConfig, err)
	}
	tasks, err := singleton.Start(s, order, *cfg.Store, log.Named("fleet"))
	if err != nil {
		s.Close()
		return nil, fmt.Errorf("%w: store: %w", errConfig, err)
	}
	k := &keeper{store: s, tasks: tasks, name: cfg.Name, log: log, says: make(chan string, 1)}
	s.OnChange(func(key string, value json.RawMessage) {
		if key == keyLevel && k.caught.Load() { // not what a log that is read again once said
			k.setLevel(level, value)
		}
	})
	first, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	if s.WaitCaughtUp(first) {
		k.caughtUp(level)
		if e, ok := s.Entry(keySettings); ok {
			if !k.use(cfg, store.GoodVersion{Revision: e.ModRevision, Value: e.Value}, false) {
				k.useLast(cfg)
			}
		}
	} else {
		log.Warn("store can't be read yet, going on with what was good last")
		k.useLast(cfg)
		go func() { // the level is followed once this node has caught up
			if s.WaitCaughtUp(ctx) {
				k.caughtUp(level)
			}
		}()
	}
	go k.tell()
	return k, nil
}

// caughtUp has the level followed from now on.
func (k *keeper) caughtUp(level zap.AtomicLevel) {
	k.caught.Store(true)
	if v, ok := k.store.Get(keyLevel); ok {
		k.setLevel(level, v)
	}
}

func (k *keeper) setLevel(level zap.AtomicLevel, value json.RawMessage) {
	text := "info"
	if value != nil {
		if err := json.Unmarshal(value, &text); err != nil {
			k.log.Warn("log level not understood", zap.Error(err))
			return
		}
	}
	if err := level.UnmarshalText([]byte(text)); err != nil {
		k.log.Warn("log level not understood", zap.Error(err))
	}
}

// use takes settings of the store, unless they would not start, and keeps them as
// good.
func (k *keeper) use(cfg *config, g store.GoodVersion, last bool) bool {
	var w simproto.Settings
	err := simproto.DecodeJSON(g.Value, &w)
	if err == nil {
		_, err = dispatch.ParseSettings(&w)
	}
	if err != nil {
		k.log.Error("settings of the store are not usable", zap.Uint64("revision", g.Revision), zap.Error(err))
		return false
	}
	cfg.Settings, cfg.settingsFromStore = w, true
	k.log.Info("settings taken from the store", zap.Uint64("revision", g.Revision), zap.Bool("last_good", last))
	if last {
		return true
	}
	if err := k.store.SaveLastGood(keySettings, g); err != nil {
		k.log.Error("good settings not kept for the next start", zap.Error(err))
	}
	return true
}

// useLast takes the settings that this node last started on; without any, the file's
// stay.
func (k *keeper) useLast(cfg *config) {
	switch g, ok, err := k.store.LastGood(keySettings); {
	case err != nil:
		k.log.Error("last good settings can't be read, the file's are used", zap.Error(err))
	case ok:
		k.use(cfg, g, true)
	}
}

// say has the store told what the service does, when it can be.
func (k *keeper) say(what string) {
	if k.store == nil {
		return
	}
	select { // the latest is what counts
	case <-k.says:
	default:
	}
	select {
	case k.says <- what:
	default:
	}
}

// closing is what the store may take of stop_ms.
func (k *keeper) closing() time.Duration {
	if k.store == nil {
		return 0
	}
	return store.CloseTimeout + singleton.CloseTimeout
}

func (k *keeper) tell() {
	for what := range k.says {
		text, err := json.Marshal(map[string]any{"state": what, "since_ms": time.Now().UnixMilli()})
		for err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), sayMost)
			err := k.store.Set(ctx, keyState+k.name, text)
			cancel()
			if err == nil || len(k.says) > 0 {
				break
			}
			time.Sleep(sayAgain)
		}
	}
}

func (k *keeper) close() {
	if k.store != nil {
		k.tasks.Close()
		k.store.Close()
	}
}
