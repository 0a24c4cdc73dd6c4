// Package reloader reads a settings file again when it changes or the process
// gets SIGHUP.
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

// lookEvery is how often the file is looked at: it may change without a signal.
const lookEvery = 3 * time.Second

// Config is what a Reloader needs.
type Config struct {
	File string
	Log  *zap.Logger
	// Apply checks the file and puts it in force; with an error the settings in
	// force stay.
	Apply func(file string) error
}

// Reloader follows one settings file.
type Reloader struct {
	cfg Config
	// seen is the content last applied or refused.
	seen []byte
	// hangup gets SIGHUP from New on; without it the signal ends the process.
	hangup chan os.Signal
}

// New returns a Reloader for settings that are in force as the file has them.
func New(cfg Config) *Reloader {
	r := &Reloader{cfg: cfg, hangup: make(chan os.Signal, 1)}
	signal.Notify(r.hangup, syscall.SIGHUP)
	raw, err := os.ReadFile(cfg.File)
	if err != nil {
		cfg.Log.Warn("settings can't be followed yet", zap.String("file", cfg.File), zap.Error(err))
	}
	r.seen = raw
	return r
}

// Serve follows the file until ctx ends.
func (r *Reloader) Serve(ctx context.Context) {
	defer signal.Stop(r.hangup)
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangup:
			r.look(true)
		case <-look.C:
			r.look(false)
		}
	}
}

// look applies the file if it has changed.
func (r *Reloader) look(asked bool) {
	raw, err := os.ReadFile(r.cfg.File)
	if err != nil {
		r.cfg.Log.Warn("settings not read; those in force stay", zap.String("file", r.cfg.File), zap.Error(err))
		return
	}
	if bytes.Equal(raw, r.seen) {
		if asked {
			r.cfg.Log.Info("settings reloaded", zap.String("file", r.cfg.File), zap.Bool("changed", false))
		}
		return
	}
	r.seen = raw
	if err := r.cfg.Apply(r.cfg.File); err != nil {
		r.cfg.Log.Error("settings refused; those in force stay", zap.String("file", r.cfg.File), zap.Error(err))
		return
	}
	r.cfg.Log.Info("settings reloaded", zap.String("file", r.cfg.File), zap.Bool("changed", true))
}
