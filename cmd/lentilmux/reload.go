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

// reloadEvery is the pause between two looks at the settings file, which may
// change without a signal.
const reloadEvery = time.Second

// errFixed reports settings that only another start can put in force.
const errFixed = errors.ConstError("names and addresses cannot change while the process runs")

// limited is a gateway whose limits may change, and its log.
type limited interface {
	SetLimits(ctx context.Context, limits fleet.Limits) error
	LogDecision(d lentilmux.Decision)
}

// reload puts changed settings in force, as a whole or not at all.
type reload struct {
	path    string
	inForce platform.Settings
	seen    os.FileInfo // of the file when it was last read; nil before
	gateway limited
}

// run reads the file at each SIGHUP and when it has changed, until ctx ends.
func (r *reload) run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	r.changed()
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-signals:
			r.changed()
			r.read(ctx, "signal")
		case <-ticker.C:
			if r.changed() {
				r.read(ctx, "file changed")
			}
		case <-ctx.Done():
			return
		}
	}
}

// changed reports whether the file is another one than at the last call. A file
// that is not there now is looked for again.
func (r *reload) changed() bool {
	info, err := os.Stat(r.path)
	if err != nil {
		return false
	}
	before := r.seen
	r.seen = info
	return before != nil && (!os.SameFile(before, info) || !before.ModTime().Equal(info.ModTime()) || before.Size() != info.Size())
}

// read puts the file in force, or says why it does not.
func (r *reload) read(ctx context.Context, why string) {
	settings, err := platform.ReadSettings(r.path)
	if err == nil && settings.WithoutReloadable() != r.inForce.WithoutReloadable() {
		err = errFixed
	}
	if err == nil {
		err = r.gateway.SetLimits(ctx, settings.NodeLimits())
	}
	if err != nil {
		r.gateway.LogDecision(lentilmux.Decision{What: "settings_read", Subject: r.path, Chosen: "kept", Reason: why + ": " + err.Error()})
		return
	}
	limitMemory(settings)
	r.inForce = settings
	r.gateway.LogDecision(lentilmux.Decision{What: "settings_read", Subject: r.path, Chosen: "in_force", Reason: why})
}
