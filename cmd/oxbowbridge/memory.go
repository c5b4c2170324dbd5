package main

import (
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/memquota"
	"oxbowbridge/internal/transport/frontend"
)

// The parts of limits.memory_mb. Each is limits.memory_mb divided by a number. Together they are less than
// heapLimitFraction of limits.memory_mb.
const (
	// openRequestsDivisor determines the memory for requests, complete or not.
	openRequestsDivisor = 3
	// idempotencyKeysDivisor determines the memory for idempotency keys and their results.
	idempotencyKeysDivisor = 5
	// minInputDivisor determines the memory for incomplete requests that complete ones can't take.
	minInputDivisor = 32
	// outputDivisor determines the memory for responses that callers don't read.
	outputDivisor = 32
)

// openRequestKB is the memory of a complete open request in this process, in KiB: its body, its result and internal
// state.
const openRequestKB = 8

// memoryBytes returns limits.memory_mb in bytes.
func memoryBytes(cfg *config) int { return int(cfg.Limits.MemoryMB) << 20 }

// maxOpenRequests returns the maximum number of complete open requests, from the memory for them.
func maxOpenRequests(cfg *config) int {
	return memoryBytes(cfg) / openRequestsDivisor / (openRequestKB << 10)
}

// maxIdempotencyKeyBytes returns the memory limit of the idempotency key table, in bytes.
func maxIdempotencyKeyBytes(cfg *config) int { return memoryBytes(cfg) / idempotencyKeysDivisor }

// memoryQuotas returns the quotas of all callers' connections. Incomplete requests may hold the memory for requests that
// complete ones leave, or the minimum.
func memoryQuotas(cfg *config, x *exchange.Exchange) frontend.MemoryQuotas {
	maxInputBytes := func() int {
		completeBytes := x.OpenRequests() * (openRequestKB << 10)
		return max(memoryBytes(cfg)/openRequestsDivisor-completeBytes, memoryBytes(cfg)/minInputDivisor)
	}
	return frontend.MemoryQuotas{
		Input:  memquota.New(maxInputBytes),
		Output: memquota.Fixed(memoryBytes(cfg) / outputDivisor),
	}
}
