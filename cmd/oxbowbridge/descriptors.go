package main

import (
	"os"
	"syscall"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/fdquota"
)

const (
	// storeDescriptorsDivisor: one in so many descriptors is for the replicated store, if
	// there is one.
	storeDescriptorsDivisor = 8
	// assumedOpenDescriptors is used where the system does not tell the number.
	assumedOpenDescriptors = 16
)

// divideDescriptors divides the descriptors that the configuration and the system allow.
func divideDescriptors(cfg *config, log *zap.Logger) fdquota.Quotas {
	usage := fdquota.Usage{Limit: descriptorLimit(cfg), OpenDescriptors: openDescriptors()}
	for _, address := range []string{cfg.ListenAddress, cfg.AJP.ListenAddress} {
		if address != "" {
			usage.Listeners++
		}
	}
	if cfg.Store != nil {
		usage.Reserved = usage.Limit / storeDescriptorsDivisor
	}
	quotas := fdquota.Divide(usage)
	if quotas.BelowMinimum {
		log.Warn("few descriptors are left for connections", zap.Int("limit", usage.Limit), zap.Int("open", usage.OpenDescriptors))
	}
	return quotas
}

// descriptorLimit is the configured limit, or the system's if that is lower.
func descriptorLimit(cfg *config) int {
	limit := cfg.Limits.Sockets
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil && system.Cur < uint64(limit) {
		limit = int(system.Cur)
	}
	return limit
}

// openDescriptors is how many descriptors this process has, inherited ones included.
func openDescriptors() int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return assumedOpenDescriptors
	}
	return len(list) - 1 // without that of the folder while it was read
}
