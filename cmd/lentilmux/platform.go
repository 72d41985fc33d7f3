package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux/platform"
)

// memoryPart is the part of the machine's memory that the runtime aims to stay
// below.
const memoryPart = 0.7

// servePlatform runs the entry VM on the users' platform.
func servePlatform(ctx context.Context, cancel context.CancelFunc, o *options, logger *logrus.Logger) (err error) {
	defer errors.DeferredAnnotatef(&err, "serving on the platform")
	logger.SetOutput(os.Stdout)
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryMB<<20)))
	}
	gateway, err := platform.NewGateway(settings, uint16(*o.metricsPort), logger)
	if err != nil {
		return err
	}
	go stopOnSignal(gateway.Drain, cancel)
	go ignoreReloads(logger)
	return gateway.Run(ctx)
}

// ignoreReloads notes that the settings file has changed. What it holds of
// names, addresses and bounds is read once, at the start.
func ignoreReloads(logger *logrus.Logger) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	for range reloads {
		logger.WithField("what", "settings_changed").Info("decision")
	}
}
