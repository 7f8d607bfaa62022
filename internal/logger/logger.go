// Package logger makes the logs of a process: JSON lines on standard error.
package logger

import (
	"fmt"

	"go.uber.org/zap"
)

// New returns a logger for a level such as "info".
func New(level string) (*zap.Logger, error) {
	lvl, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q does not exist: %w", level, err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = lvl
	cfg.Sampling = nil
	log, err := cfg.Build()
	if err != nil {
		return nil, fmt.Errorf("logs cannot be set up: %w", err)
	}
	return log, nil
}
