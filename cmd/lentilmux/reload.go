package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
	"lentilmux.example/lentilmux/platform"
)

// reloadInterval is the time between two checks of the settings file, which may
// change without a SIGHUP.
const reloadInterval = time.Second

// errRestartRequired reports changed settings that take effect only after a
// restart.
const errRestartRequired = errors.ConstError("names and addresses cannot change without a restart")

// reloadTarget applies changed limits and logs decisions. Its implementation is
// [entryvm.Gateway].
type reloadTarget interface {
	SetLimits(ctx context.Context, limits fleet.Limits) error
	SetMemoryBudget(bytes int64)
	LogDecision(d lentilmux.Decision)
}

// reloader reads the settings file again when it changes and applies the new
// limits. An invalid file changes nothing.
type reloader struct {
	path     string
	current  platform.Settings
	lastInfo os.FileInfo // of the file at the last check; nil before the first
	target   reloadTarget
}

// run applies the file at each SIGHUP and whenever it has changed, until ctx is
// done.
func (r *reloader) run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	r.fileChanged()
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-signals:
			r.fileChanged()
			r.apply(ctx, "signal")
		case <-ticker.C:
			if r.fileChanged() {
				r.apply(ctx, "file changed")
			}
		case <-ctx.Done():
			return
		}
	}
}

// fileChanged reports whether the file was replaced or modified since the last
// call. The first call returns false. A missing file counts as unchanged; later
// calls check for it again.
func (r *reloader) fileChanged() bool {
	info, err := os.Stat(r.path)
	if err != nil {
		return false
	}
	previous := r.lastInfo
	r.lastInfo = info
	return previous != nil && (!os.SameFile(previous, info) || !previous.ModTime().Equal(info.ModTime()) || previous.Size() != info.Size())
}

// apply reads the file and applies its limits. If the file is invalid, requires
// a restart or cannot be applied, the current settings stay. Both results are
// logged with the trigger, which is the reason for the reload.
func (r *reloader) apply(ctx context.Context, trigger string) {
	settings, err := platform.ReadSettings(r.path)
	if err == nil && settings.WithoutReloadable() != r.current.WithoutReloadable() {
		err = errRestartRequired
	}
	if err == nil {
		err = r.target.SetLimits(ctx, settings.NodeLimits())
	}
	if err != nil {
		r.target.LogDecision(lentilmux.Decision{What: "settings_read", Subject: r.path, Chosen: "kept", Reason: trigger + ": " + err.Error()})
		return
	}
	limitMemory(settings)
	r.target.SetMemoryBudget(settings.MemoryBudget())
	r.current = settings
	r.target.LogDecision(lentilmux.Decision{What: "settings_read", Subject: r.path, Chosen: "in_force", Reason: trigger})
}
