// Package logger creates the logger of a process. It writes JSON lines, to standard
// error by default.
package logger

import (
	"fmt"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Of the lines with the same level and message within a second, the first sampleFirst
// are written and then one in sampleEvery, so that a flood of requests does not
// become a flood of log lines.
const (
	sampleFirst = 400
	sampleEvery = 50
)

// Option configures a logger.
type Option func(*zapcore.WriteSyncer, *bool)

// WithOutput makes the logger write to out, and sample lines with the same message.
func WithOutput(out zapcore.WriteSyncer) Option {
	return func(w *zapcore.WriteSyncer, sampled *bool) { *w, *sampled = out, true }
}

// New returns a logger for lines of at least the given level, such as "info".
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
		core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleEvery)
	}
	return zap.New(core, zap.ErrorOutput(out)), nil
}
