package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux/entryvm"
	"lentilmux.example/lentilmux/operator"
	"lentilmux.example/lentilmux/peer"
	"lentilmux.example/lentilmux/standin"
)

// setupStatements configure the standalone system. The addresses of the
// upstreams are not opened; they only identify the stand-ins of
// [standinDependencies].
var setupStatements = []string{
	"create upstream worker-1 kind engine addr 127.0.0.1:1 zone local accelerator small layers 16 rate 4000 slots 8",
	"create upstream worker-2 kind engine addr 127.0.0.1:2 zone local accelerator large layers 24 rate 8000 slots 8",
	"create upstream desk-1 kind service addr 127.0.0.1:3 zone local slots 16",
	"create pipeline desk-llm model lentil-demo layers 32 on worker-1, worker-2",
	"create service ticket-app on desk-1 idempotent GET",
	"create workspace counter share 0.5 priority 0 uses desk-llm, ticket-app",
}

// setupTimeout is the deadline for configuring the standalone system.
const setupTimeout = 15 * time.Second

// serveStandalone runs an entry VM with stand-ins of two engines, a plain
// service and the platform in the same process.
func serveStandalone(ctx context.Context, cancel context.CancelFunc, flags *options, logger *logrus.Logger) (err error) {
	defer errors.DeferredAnnotatef(&err, "serving standalone")
	config := flags.config(logger)
	config.Name, config.Zone = "entry-1", "local"
	vm, err := entryvm.New(config, standinDependencies())
	if err != nil {
		return err
	}
	go stopOnSignal(vm.Drain, cancel)
	go func() {
		if err := configureStandalone(ctx, config); err != nil {
			logger.WithError(err).Error("standalone system failed to start")
			cancel()
		}
	}()
	return vm.Run(ctx)
}

// standinDependencies returns the stand-ins of the standalone system. Their
// addresses match those of setupStatements.
func standinDependencies() entryvm.Dependencies {
	engines := standin.NewEngines()
	store := standin.NewWeightStore(5 * time.Millisecond)
	engines.Add(netip.MustParseAddrPort("127.0.0.1:1"), standin.NewEngine(standin.EngineSpec{Name: "worker-1", MaxLayers: 16, LayerStepsPerSecond: 4000, Slots: 8, Store: store}))
	engines.Add(netip.MustParseAddrPort("127.0.0.1:2"), standin.NewEngine(standin.EngineSpec{Name: "worker-2", MaxLayers: 24, LayerStepsPerSecond: 8000, Slots: 8, Store: store}))
	return entryvm.Dependencies{
		Engine:  engines,
		Service: standin.Services{netip.MustParseAddrPort("127.0.0.1:3"): standin.NewService("desk-1", 5*time.Millisecond)},
		Log:     standin.NewLog(time.Millisecond),
		VMList:  standin.NewVMList(time.Second),
		Peer:    peer.NewClient("", nil),
	}
}

// configureStandalone executes the setup statements, waits until the pipeline
// can generate tokens, and prints how to use the system.
func configureStandalone(ctx context.Context, config entryvm.Config) (err error) {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	client := operator.NewClient([]netip.AddrPort{config.ControlAddr}, config.Operators.Admin, "standalone", nil)
	for _, statement := range setupStatements {
		if err := executeUntilAccepted(ctx, client, statement); err != nil {
			return err
		}
	}
	for {
		result, err := client.Execute(ctx, "show pipelines where bound_tokens_per_s > 0")
		if err != nil {
			return err
		}
		if len(result.Rows) > 0 {
			break
		}
		time.Sleep(pollInterval)
	}
	fmt.Printf(`
lentilmux serves a small system with embedded stand-ins. It is for demonstration
and not for production. To send a request to its model:

  curl -N http://%[1]s/v1/chat/completions -H 'Lentilmux-Workspace: counter' \
    -d '{"model":"lentil-demo","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"When is the steam room free?"}]}'

To show its decisions:

  go run ./cmd/lentilctl --addrs %[2]s show decisions
`, config.CallerAddr, config.ControlAddr)
	return nil
}

// pollInterval is the time between two attempts while the standalone system
// starts.
const pollInterval = 100 * time.Millisecond

// executeUntilAccepted executes a statement until the entry VM accepts it or
// ctx is done.
func executeUntilAccepted(ctx context.Context, client *operator.Client, statement string) (err error) {
	for {
		result, err := client.Execute(ctx, statement)
		if err == nil && result.Accepted {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Errorf("statement %q not accepted in time: error %v, detail %q", statement, err, result.Detail)
		}
		time.Sleep(pollInterval)
	}
}
