// Command lentilmux runs the request router of one entry VM. It routes requests
// from callers to engines and plain services.
//
// # Usage
//
//	lentilmux --name entry-1 --zone kochi --caller-addr 127.0.0.1:8101 --control-addr 127.0.0.1:7101 \
//		--log-addr 127.0.0.1:9000 --list-addr 127.0.0.1:9000
//
// The first SIGTERM or SIGINT starts a drain, which lets requests in flight
// complete; a second signal ends the process at once. With --standalone the
// program serves a complete small system with embedded stand-ins on loopback,
// for demonstration and not for production.
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
	exitOK              = 0
	exitFailed          = 1
	exitInvalidSettings = 2
)

func main() { os.Exit(run()) }

// run reads the settings, serves until the process is stopped, and returns the
// exit code.
func run() (code int) {
	o := declareOptions()
	if err := o.set.Read(os.Args[1:], os.LookupEnv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	if *o.printSettingsTable {
		fmt.Print(o.set.MarkdownTable())
		return exitOK
	}
	if *o.printSettings {
		if err := o.set.Print(os.Stdout); err != nil {
			return exitFailed
		}
		return exitOK
	}
	if invalid := o.validate(); invalid != nil {
		fmt.Fprintln(os.Stderr, invalid)
		return exitInvalidSettings
	}
	logger := o.logger()
	if err := serve(o, logger); err != nil {
		logger.WithError(err).Error("entry VM stopped with an error")
		return exitFailed
	}
	return exitOK
}

// serve runs the entry VM in the mode that the settings select: with the
// platform's log and list of VMs, on the users' platform (--platform), or with
// embedded stand-ins (--standalone).
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
	if config.TLS, err = o.certificates(); err != nil {
		return err
	}
	var clientTLS *tls.Config
	if config.TLS != nil {
		clientTLS = config.TLS.ClientConfig()
	}
	vm, err := entryvm.New(config, entryvm.Dependencies{
		Engine:  engine.NewClient(),
		Service: service.NewClient(),
		Log:     platformlog.NewClient(*o.logAddr),
		VMList:  vmlist.NewClient(*o.listAddr),
		Peer:    peer.NewClient(*o.peerKey, clientTLS),
	})
	if err != nil {
		return err
	}
	go stopOnSignal(vm.Drain, cancel)
	return vm.Run(ctx)
}

// stopOnSignal starts the drain at the first SIGTERM or SIGINT and cancels the
// context of the process at the second.
func stopOnSignal(drain func(), cancel context.CancelFunc) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	drain()
	<-signals
	cancel()
}
