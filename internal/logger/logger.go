// Package logger makes the logs of a process: JSON lines, on standard error
// unless an option says otherwise.
package logger

import (
	"fmt"

	"go.uber.org/zap"
)

// Option changes a logger under construction.
type Option func(*zap.Config)

// WithOutput sends the lines to a path, or to "stdout".
func WithOutput(path string) Option {
	return func(cfg *zap.Config) { cfg.OutputPaths = []string{path} }
}

// New returns a logger for a level such as "info".
func New(level string, opts ...Option) (*zap.Logger, error) {
	lvl, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q does not exist: %w", level, err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = lvl
	cfg.Sampling = nil
	for _, o := range opts {
		o(&cfg)
	}
	log, err := cfg.Build()
	if err != nil {
		return nil, fmt.Errorf("logs cannot be set up: %w", err)
	}
	return log, nil
}
