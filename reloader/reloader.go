// Package reloader reloads a settings file when it changes or the process receives
// SIGHUP.
package reloader

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// pollInterval is how often the file is checked, since it may change without a
// signal.
const pollInterval = 3 * time.Second

// Config configures a Reloader.
type Config struct {
	File string
	Log  *zap.Logger
	// Apply validates the file and applies its settings. On an error it must leave
	// the current settings in place.
	Apply func(file string) error
}

// Reloader watches one settings file.
type Reloader struct {
	cfg Config
	// lastContent is the content that was last applied or rejected.
	lastContent []byte
	// hangup receives SIGHUP from New on. Without it the signal would end the
	// process.
	hangup chan os.Signal
}

// New returns a Reloader. The file's current settings must already be applied.
func New(cfg Config) *Reloader {
	r := &Reloader{cfg: cfg, hangup: make(chan os.Signal, 1)}
	signal.Notify(r.hangup, syscall.SIGHUP)
	raw, err := os.ReadFile(cfg.File)
	if err != nil {
		cfg.Log.Warn("cannot read the settings file; will retry", zap.String("file", cfg.File), zap.Error(err))
	}
	r.lastContent = raw
	return r
}

// Serve watches the file until ctx ends.
func (r *Reloader) Serve(ctx context.Context) {
	defer signal.Stop(r.hangup)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangup:
			r.reload(true)
		case <-ticker.C:
			r.reload(false)
		}
	}
}

// reload applies the file if it has changed. After a signal it also logs that the
// file has not changed.
func (r *Reloader) reload(signaled bool) {
	raw, err := os.ReadFile(r.cfg.File)
	if err != nil {
		r.cfg.Log.Warn("cannot read the settings file; keeping the current settings", zap.String("file", r.cfg.File), zap.Error(err))
		return
	}
	if bytes.Equal(raw, r.lastContent) {
		if signaled {
			r.cfg.Log.Info("settings reloaded", zap.String("file", r.cfg.File), zap.Bool("changed", false))
		}
		return
	}
	r.lastContent = raw
	if err := r.cfg.Apply(r.cfg.File); err != nil {
		r.cfg.Log.Error("settings rejected; keeping the current settings", zap.String("file", r.cfg.File), zap.Error(err))
		return
	}
	r.cfg.Log.Info("settings reloaded", zap.String("file", r.cfg.File), zap.Bool("changed", true))
}
