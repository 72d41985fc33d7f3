package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux/platform"
)

// memoryFraction is the fraction of the VM's memory that is set as the soft
// memory limit of the Go runtime. The pages of the program, and what the heap grows by
// between two collections, come on top: with 0.7 the process was measured at 101 MiB of 136
// while 400 clients sent heads of 36,000 bytes.
const memoryFraction = 0.6

// servePlatform runs the entry VM on the users' platform. It reads the settings
// file that LENTILMUX_SETTINGS names, reloads it while the VM runs, and logs to
// standard output.
func servePlatform(ctx context.Context, cancel context.CancelFunc, flags *options, logger *logrus.Logger) (err error) {
	defer errors.DeferredAnnotatef(&err, "serving on the platform")
	logger.SetOutput(os.Stdout)
	path := os.Getenv(platform.SettingsPathEnvVar)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	settings.ConnLimits = flags.connLimits()
	limitMemory(settings)
	gateway, err := platform.NewGateway(settings, uint16(*flags.metricsPort), logger)
	if err != nil {
		return err
	}
	go stopOnSignal(gateway.Drain, cancel)
	reloader := &reloader{path: path, current: settings, target: gateway}
	go reloader.run(ctx)
	return gateway.Run(ctx)
}

// limitMemory sets the runtime's soft memory limit from the VM's memory in the
// settings. If they give none, the limit stays as it is.
func limitMemory(settings platform.Settings) {
	if settings.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(settings.MemoryMiB<<20)))
	}
}
