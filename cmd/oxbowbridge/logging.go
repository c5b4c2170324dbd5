package main

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"oxbowbridge/internal/logsink"
)

const (
	// sampleFirst is how often the same message is logged within a second. After that, one
	// in sampleThereafter is logged. This bounds the cost of logging when thousands of
	// callers fail.
	sampleFirst      = 50
	sampleThereafter = 100
)

// newLogger returns a logger that writes JSON lines to standard error without blocking.
func newLogger(level zap.AtomicLevel) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	lines := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), logsink.New(os.Stderr), level)
	return zap.New(zapcore.NewSamplerWithOptions(lines, time.Second, sampleFirst, sampleThereafter))
}
