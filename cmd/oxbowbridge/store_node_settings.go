package main

import (
	"encoding/json"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/proxy/dispatch"
	"oxbowbridge/internal/sitesettings"
)

// defaultLogLevel is the log level if the store has none.
const defaultLogLevel = "info"

// followLogLevel sets the log level from the store, and enables later updates from the store.
func (n *storeNode) followLogLevel(level zap.AtomicLevel) {
	n.caughtUp.Store(true)
	if value, ok := n.store.Get(keyLogLevel); ok {
		n.setLogLevel(level, value)
	}
}

func (n *storeNode) setLogLevel(level zap.AtomicLevel, value json.RawMessage) {
	text := defaultLogLevel
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

// loadSettings copies the settings of the store to cfg and saves them as the last good settings. If they
// are invalid, it loads the last good settings instead.
func (n *storeNode) loadSettings(cfg *config) {
	e, ok := n.store.Entry(keySettings)
	if !ok {
		return
	}
	version := store.LastGoodVersion{Revision: e.ModRevision, Value: e.Value}
	if !n.applySettings(cfg, version, currentSettings) {
		n.loadLastGoodSettings(cfg)
		return
	}
	if err := n.store.SaveLastGood(keySettings, version); err != nil {
		n.log.Error("saving last good settings failed", zap.Error(err))
	}
}

// loadLastGoodSettings copies the last settings with which this node started successfully to cfg. If there
// are none, cfg keeps the settings of the configuration file.
func (n *storeNode) loadLastGoodSettings(cfg *config) {
	version, ok, err := n.store.LastGood(keySettings)
	switch {
	case err != nil:
		n.log.Error("reading last good settings failed, using settings of configuration file", zap.Error(err))
	case ok:
		n.applySettings(cfg, version, savedSettings)
	}
}

// settingsOrigin is the origin of settings from the store.
type settingsOrigin int

const (
	currentSettings settingsOrigin = iota // read from the store now
	savedSettings                         // saved locally at an earlier start
)

// applySettings copies settings of the store to cfg, and reports whether they are valid. Invalid settings
// leave cfg unchanged.
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
	n.log.Info("settings loaded from store", zap.Uint64("revision", version.Revision), zap.Bool("last_good", origin == savedSettings))
	return true
}
