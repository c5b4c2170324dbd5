package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/store"
	"oxbowbridge/internal/wire"
	"oxbowbridge/rules"
)

// The keys of the store that the program reads and writes.
const (
	keySettings = "config/settings"  // in place of the file's settings, from the next start
	keyLevel    = "config/log_level" // "debug", "info", "warn" or "error", at once
	keyState    = "state/"           // and the service's name: what it does
)

const (
	catchUp  = 10 * time.Second // a start waits so long for the other nodes
	sayAgain = time.Second
)

// keeper is the program's use of the store. Without one it does nothing.
type keeper struct {
	store *store.Store
	name  string
	log   *zap.Logger
	says  chan string
}

func openKeeper(ctx context.Context, cfg *config, level zap.AtomicLevel, log *zap.Logger) (*keeper, error) {
	if cfg.Store == nil {
		return &keeper{}, nil
	}
	s, err := store.Open(*cfg.Store, log.Named("store"))
	if err != nil {
		return nil, fmt.Errorf("%w: store: %w", errConfig, err)
	}
	k := &keeper{store: s, name: cfg.Name, log: log, says: make(chan string, 1)}
	setLevel := func(value json.RawMessage) {
		text := "info"
		if value != nil {
			if err := json.Unmarshal(value, &text); err != nil {
				log.Warn("log level not understood", zap.Error(err))
				return
			}
		}
		if err := level.UnmarshalText([]byte(text)); err != nil {
			log.Warn("log level not understood", zap.Error(err))
		}
	}
	s.Watch(func(key string, value json.RawMessage) {
		if key == keyLevel {
			setLevel(value)
		}
	})
	ctx, cancel := context.WithTimeout(ctx, catchUp)
	defer cancel()
	if !s.Caught(ctx) {
		log.Warn("store has no leader yet, going on with what this node knows")
	}
	if v, ok := s.Get(keyLevel); ok {
		setLevel(v)
	}
	if v, ok := s.Get(keySettings); ok {
		k.use(cfg, v)
	}
	go k.tell()
	return k, nil
}

// use takes the settings of the store, unless they would not start.
func (k *keeper) use(cfg *config, text json.RawMessage) {
	var w wire.Settings
	err := wire.Decode(text, &w)
	if err == nil {
		var set rules.Settings
		if set, err = w.Rules(); err == nil {
			_, err = rules.New(set, 0)
		}
	}
	if err != nil {
		k.log.Error("settings of the store are not usable, the file's are used", zap.Error(err))
		return
	}
	cfg.Settings, cfg.stored = w, true
	k.log.Info("settings taken from the store")
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
	return store.CloseTime
}

func (k *keeper) tell() {
	for what := range k.says {
		text, err := json.Marshal(map[string]any{"state": what, "since_ms": time.Now().UnixMilli()})
		for err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), catchUp)
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
		k.store.Close()
	}
}
