// Command embedded shows how to embed an entry VM in another program: it makes the
// same routing decisions as lentilmux, but without the HTTP front end. The
// example configures a pipeline over two simulated engines, sends one request
// through it and prints the answer. It uses no network.
//
//	go run ./examples/embedded
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/engine"
	"lentilmux.example/lentilmux/entryvm"
	"lentilmux.example/lentilmux/operator"
	"lentilmux.example/lentilmux/peer"
	"lentilmux.example/lentilmux/standin"
	"lentilmux.example/lentilmux/table"
)

// timeout is the maximum duration of the example and the request's deadline.
const timeout = 30 * time.Second

// setup holds the operators' statements that configure a 32-layer model over two
// engines of 16 layers each, and a workspace that may use it.
var setup = []string{
	"create upstream worker-1 kind engine addr 127.0.0.1:1 zone here layers 16 rate 4000 slots 8",
	"create upstream worker-2 kind engine addr 127.0.0.1:2 zone here layers 16 rate 4000 slots 8",
	"create pipeline desk model lentil layers 32 on worker-1, worker-2",
	"create workspace counter share 1 priority 0 uses desk",
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run starts the entry VM, configures it, sends one request and prints the tokens
// of the answer as they arrive.
func run() (err error) {
	defer errors.DeferredAnnotatef(&err, "running the example")
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	vm, err := newVM()
	if err != nil {
		return err
	}
	go vm.RunNode(ctx)
	for _, text := range setup {
		if err := configure(ctx, vm.Node(), text); err != nil {
			return err
		}
	}
	request := lentilmux.Request{
		ID: "example-1", Workspace: "counter", Model: "lentil", MaxTokens: 12,
		Fingerprint: lentilmux.ComputeFingerprint("counter", "lentil", "hello"), Deadline: time.Now().Add(timeout),
	}
	emit := func(token string) error {
		fmt.Print(token)
		return nil
	}
	buildReply := func([]string) lentilmux.ServiceReply { return lentilmux.ServiceReply{} }
	result, err := vm.Relay().Generate(ctx, request, engine.Prompt{Text: "hello", MaxTokens: 12}, emit, buildReply)
	fmt.Printf("\n%d tokens\n", result.Tokens)
	return err
}

// newVM returns an entry VM whose engines, log and list of VMs are simulated in
// process.
func newVM() (vm *entryvm.VM, err error) {
	engines := standin.NewEngines()
	for i := range uint16(2) {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), i+1)
		engines.Add(addr, standin.NewEngine(standin.EngineSpec{MaxLayers: 16, LayerStepsPerSecond: 4000, Slots: 8}))
	}
	logger := logrus.New()
	logger.SetLevel(logrus.WarnLevel)
	return entryvm.New(entryvm.Config{Name: "embedded", Zone: "here", Seed: 1, Limits: table.DefaultLimits(), Logger: logger}, entryvm.Dependencies{
		Engine: engines, Service: standin.Services{}, Log: standin.NewLog(0), VMList: standin.NewVMList(0), Peer: peer.NewClient("", nil),
	})
}

// configure submits a statement to the node and retries every 100 ms until it is
// accepted, since the node rejects commands while it starts. The statement's
// text is the command's ID, so that no retry applies it twice.
func configure(ctx context.Context, node *lentilmux.Node, text string) (err error) {
	defer errors.DeferredAnnotatef(&err, "%s", text)
	statement, err := operator.Parse(text)
	if err != nil {
		return err
	}
	command, err := operator.BuildCommand(text, statement, lentilmux.Snapshot{})
	if err != nil {
		return err
	}
	for {
		answer, err := node.Ask(ctx, lentilmux.CommandMsg{ID: text, Who: "example", Text: text, Command: command, Deadline: time.Now().Add(time.Second)})
		if err != nil {
			return err
		}
		if verdict, ok := answer.(lentilmux.CommandAnswer); ok && verdict.Accepted {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
}
