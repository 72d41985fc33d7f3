// Command lentilmux runs the request router of one entry VM. It routes requests
// from callers to engines and plain services.
//
// # Usage
//
//	lentilmux --name entry-1 --zone kochi --caller-addr 127.0.0.1:8101 --control-addr 127.0.0.1:7101 \
//		--log-addr 127.0.0.1:9000 --list-addr 127.0.0.1:9000
//
// The first SIGTERM or SIGINT starts a drain, which lets requests in flight
// complete; a second signal ends the process immediately. With --standalone the
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
	flags := declareOptions()
	if err := flags.set.Read(os.Args[1:], os.LookupEnv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	if *flags.printSettingsTable {
		fmt.Print(flags.set.MarkdownTable())
		return exitOK
	}
	if *flags.printSettings {
		if err := flags.set.Print(os.Stdout); err != nil {
			return exitFailed
		}
		return exitOK
	}
	if invalid := flags.validate(); invalid != nil {
		fmt.Fprintln(os.Stderr, invalid)
		return exitInvalidSettings
	}
	logger := flags.logger()
	if err := serve(flags, logger); err != nil {
		logger.WithError(err).Error("entry VM stopped with an error")
		return exitFailed
	}
	return exitOK
}

// serve runs the entry VM in the mode that the settings select: with the
// platform's log and list of VMs, on the users' platform (--platform), or with
// embedded stand-ins (--standalone).
func serve(flags *options, logger *logrus.Logger) (err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if *flags.platform {
		return servePlatform(ctx, cancel, flags, logger)
	}
	if *flags.standalone {
		return serveStandalone(ctx, cancel, flags, logger)
	}
	config := flags.config(logger)
	if config.TLS, err = flags.certificates(); err != nil {
		return err
	}
	var clientTLS *tls.Config
	if config.TLS != nil {
		clientTLS = config.TLS.ClientConfig()
	}
	vm, err := entryvm.New(config, entryvm.Dependencies{
		Engine:  engine.NewClient(),
		Service: service.NewClient(),
		Log:     platformlog.NewClient(*flags.logAddr),
		VMList:  vmlist.NewClient(*flags.listAddr),
		Peer:    peer.NewClient(*flags.peerKey, clientTLS),
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
