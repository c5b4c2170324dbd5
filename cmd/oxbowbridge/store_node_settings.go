package main

import (
	"encoding/json"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/proxy/dispatch"
	"oxbowbridge/internal/sitesettings"
)

// defaultLevel is the log level without a key in the store.
const defaultLevel = "info"

// followLevel sets the log level, and has it follow the store from now on.
func (n *storeNode) followLevel(level zap.AtomicLevel) {
	n.caughtUp.Store(true)
	if value, ok := n.store.Get(keyLevel); ok {
		n.setLevel(level, value)
	}
}

func (n *storeNode) setLevel(level zap.AtomicLevel, value json.RawMessage) {
	text := defaultLevel
	if value != nil {
		if err := json.Unmarshal(value, &text); err != nil {
			n.log.Warn("invalid log level in store", zap.Error(err))
			return
		}
	}
	if err := level.UnmarshalText([]byte(text)); err != nil {
		n.log.Warn("invalid log level in store", zap.Error(err))
	}
}

// loadSettings puts the store's settings into cfg and saves them as the last good ones. If they are
// not valid, it loads the last good ones instead.
func (n *storeNode) loadSettings(cfg *config) {
	e, ok := n.store.Entry(keySettings)
	if !ok {
		return
	}
	version := store.LastGoodVersion{Revision: e.ModRevision, Value: e.Value}
	if !n.applySettings(cfg, version, presentSettings) {
		n.loadLastGoodSettings(cfg)
		return
	}
	if err := n.store.SaveLastGood(keySettings, version); err != nil {
		n.log.Error("saving last good settings failed", zap.Error(err))
	}
}

// loadLastGoodSettings puts the settings with which this node last started into cfg. Without any,
// those of the configuration file stay.
func (n *storeNode) loadLastGoodSettings(cfg *config) {
	version, ok, err := n.store.LastGood(keySettings)
	switch {
	case err != nil:
		n.log.Error("reading last good settings failed, using settings of configuration file", zap.Error(err))
	case ok:
		n.applySettings(cfg, version, lastGoodSettings)
	}
}

// settingsOrigin tells which of the store's settings are applied.
type settingsOrigin int

const (
	presentSettings  settingsOrigin = iota // those that the store has now
	lastGoodSettings                       // those with which this node last started
)

// applySettings puts settings of the store into cfg, and reports whether they are valid; if not, cfg
// stays as it is.
func (n *storeNode) applySettings(cfg *config, version store.LastGoodVersion, origin settingsOrigin) bool {
	var settings sitesettings.Settings
	err := sitesettings.DecodeJSON(version.Value, &settings)
	if err == nil {
		_, err = dispatch.ControllerSettings(&settings)
	}
	if err != nil {
		n.log.Error("invalid settings in store", zap.Uint64("revision", version.Revision), zap.Error(err))
		return false
	}
	cfg.Settings = settings
	cfg.settingsFromStore = true
	n.log.Info("settings loaded from store", zap.Uint64("revision", version.Revision), zap.Bool("last_good", origin == lastGoodSettings))
	return true
}
