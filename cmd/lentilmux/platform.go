package main

import (
	"context"
	"os"
	"runtime/debug"

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
	path := os.Getenv(platform.SettingsPathEnvVar)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	limitMemory(settings)
	gateway, err := platform.NewGateway(settings, uint16(*o.metricsPort), logger)
	if err != nil {
		return err
	}
	go stopOnSignal(gateway.Drain, cancel)
	reload := &reload{path: path, inForce: settings, gateway: gateway}
	go reload.run(ctx)
	return gateway.Run(ctx)
}

// limitMemory bounds the runtime's memory by the settings.
func limitMemory(settings platform.Settings) {
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryMB<<20)))
	}
}
