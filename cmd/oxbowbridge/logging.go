package main

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"oxbowbridge/internal/logsink"
)

const (
	// maxSameMessagesPerSecond is how often one message is logged within a second. Of
	// further ones, each sampleEvery-th is. That bounds the cost of callers that fail by
	// the thousand.
	maxSameMessagesPerSecond = 50
	sampleEvery              = 100
)

// newLogger returns a logger that writes JSON lines to standard error without blocking.
func newLogger(level zap.AtomicLevel) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	lines := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), logsink.New(os.Stderr), level)
	return zap.New(zapcore.NewSamplerWithOptions(lines, time.Second, maxSameMessagesPerSecond, sampleEvery))
}
