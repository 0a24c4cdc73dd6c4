package reloader

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestReloadsChangedSettings(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "settings.yaml")
	write := func(text string) { c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil) }
	write("level: info")
	var applied []string
	core, logs := observer.New(zap.InfoLevel)
	r := New(Config{File: file, Log: zap.New(core), Apply: func(file string) error {
		raw, err := os.ReadFile(file)
		applied = append(applied, string(raw))
		if string(raw) == "bad" {
			return errors.New("bad settings")
		}
		return err
	}})
	r.reload(false)
	c.Assert(applied, qt.HasLen, 0)
	write("level: debug")
	r.reload(false)
	write("bad")
	r.reload(true)
	r.reload(true)
	c.Assert(applied, qt.DeepEquals, []string{"level: debug", "bad"})
	var lines []string
	for _, entry := range logs.All() {
		lines = append(lines, entry.Message)
	}
	c.Assert(lines, qt.DeepEquals, []string{"settings reloaded", "settings rejected; keeping the current settings", "settings reloaded"},
		qt.Commentf("the last line reports an unchanged file"))
}

// SIGHUP ends a process that has no handler for it.
func TestSIGHUPReloadsSettings(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "settings.yaml")
	c.Assert(os.WriteFile(file, []byte("a"), 0o600), qt.IsNil)
	applied := make(chan struct{}, 1)
	r := New(Config{File: file, Log: zap.NewNop(), Apply: func(string) error {
		applied <- struct{}{}
		return nil
	}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Serve(ctx)
	}()
	c.Assert(os.WriteFile(file, []byte("b"), 0o600), qt.IsNil)
	c.Assert(syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	select {
	case <-applied:
	case <-time.After(20 * time.Second):
		c.Fatal("settings were not reloaded")
	}
	cancel()
	<-done
}
