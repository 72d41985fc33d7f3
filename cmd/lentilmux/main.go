// Command lentilmux is the router of one entry VM.
//
// # Usage
//
//	lentilmux --name entry-1 --zone kochi --caller-addr 127.0.0.1:8101 --control-addr 127.0.0.1:7101 \
//		--log-addr 127.0.0.1:9000 --list-addr 127.0.0.1:9000
//
// SIGTERM begins a planned stop, which cuts off no request; a second signal
// ends the process at once. With --standalone it serves a whole small system on
// loopback, for a first look and not for production.
package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux/engine"
	"lentilmux.example/lentilmux/entryvm"
	"lentilmux.example/lentilmux/peer"
	"lentilmux.example/lentilmux/platformlog"
	"lentilmux.example/lentilmux/service"
	"lentilmux.example/lentilmux/vmlist"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

// run reads the settings and serves until the process is told to stop.
func run() (code int) {
	o := declare()
	if err := o.set.Read(os.Args[1:], os.LookupEnv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *o.printTable {
		fmt.Print(o.set.MarkdownTable())
		return exitOK
	}
	if *o.print {
		if err := o.set.Print(os.Stdout); err != nil {
			return exitFailed
		}
		return exitOK
	}
	if mistakes := o.check(); mistakes != nil {
		fmt.Fprintln(os.Stderr, mistakes)
		return exitSettings
	}
	logger := o.logger()
	if err := serve(o, logger); err != nil {
		logger.WithError(err).Error("ended")
		return exitFailed
	}
	return exitOK
}

// serve runs the entry VM, alone or with embedded stand-ins.
func serve(o *options, logger *logrus.Logger) (err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if *o.platform {
		return servePlatform(ctx, cancel, o, logger)
	}
	if *o.standalone {
		return serveStandalone(ctx, cancel, o, logger)
	}
	config := o.config(logger)
	if config.TLS, err = o.security(); err != nil {
		return err
	}
	var security *tls.Config
	if config.TLS != nil {
		security = config.TLS.ClientConfig()
	}
	vm, err := entryvm.New(config, entryvm.Dependencies{
		Engine:  engine.NewClient(),
		Service: service.NewClient(),
		Log:     platformlog.NewClient(*o.logAddr),
		VMList:  vmlist.NewClient(*o.listAddr),
		Peer:    peer.NewClient(*o.peerKey, security),
	})
	if err != nil {
		return err
	}
	go stopOnSignal(vm.Drain, cancel)
	return vm.Run(ctx)
}

// stopOnSignal begins the planned stop at the first signal and ends the process
// at the second.
func stopOnSignal(drain func(), cancel context.CancelFunc) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	drain()
	<-signals
	cancel()
}
