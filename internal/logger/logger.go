// Package logger makes the logs of a process: JSON lines, on standard error
// unless an option says otherwise.
package logger

import (
	"fmt"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Like lines beyond likeFirst a second are written once in likeEvery, so that a
// flood of requests does not become a flood of lines.
const (
	likeFirst = 400
	likeEvery = 50
)

// Option changes a logger under construction.
type Option func(*zapcore.WriteSyncer, *bool)

// WithOutput sends the lines to an output and bounds the number of like ones.
func WithOutput(out zapcore.WriteSyncer) Option {
	return func(w *zapcore.WriteSyncer, sampled *bool) { *w, *sampled = out, true }
}

// New returns a logger for a level such as "info".
func New(level string, opts ...Option) (*zap.Logger, error) {
	lvl, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q does not exist: %w", level, err)
	}
	out, _, err := zap.Open("stderr")
	if err != nil {
		return nil, fmt.Errorf("logs cannot be set up: %w", err)
	}
	sampled := false
	for _, o := range opts {
		o(&out, &sampled)
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, lvl)
	if sampled {
		core = zapcore.NewSamplerWithOptions(core, time.Second, likeFirst, likeEvery)
	}
	return zap.New(core, zap.ErrorOutput(out)), nil
}
