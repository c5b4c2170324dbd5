package main

import (
	"os"
	"syscall"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/fdquota"
)

const (
	// storeDescriptorsDivisor determines the number of descriptors that are reserved for the
	// replicated store: the descriptor limit divided by this number.
	storeDescriptorsDivisor = 8
	// assumedOpenDescriptors is the number of open descriptors that is assumed if
	// /proc/self/fd can't be read.
	assumedOpenDescriptors = 16
)

// divideDescriptors divides the file descriptors of the process between callers, backends and
// the store.
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
		log.Warn("too few file descriptors left for connections", zap.Int("limit", usage.Limit), zap.Int("open", usage.OpenDescriptors))
	}
	return quotas
}

// descriptorLimit returns the configured limit or the operating system's limit, whichever is
// lower.
func descriptorLimit(cfg *config) int {
	limit := cfg.Limits.Sockets
	var systemLimit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &systemLimit) == nil && systemLimit.Cur < uint64(limit) {
		limit = int(systemLimit.Cur)
	}
	return limit
}

// openDescriptors returns the number of open descriptors of this process, inherited ones
// included.
func openDescriptors() int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return assumedOpenDescriptors
	}
	return len(list) - 1 // without the descriptor of the directory that was read
}
