// Command embedded runs an entry VM inside another program and gets an answer
// from it without any network: a front end other than HTTP over the same
// decisions.
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

// timeout bounds the whole run.
const timeout = 30 * time.Second

// setup spreads a model over two engines.
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

// run starts the entry VM, configures it and prints one answer.
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
	print := func(token string) error {
		fmt.Print(token)
		return nil
	}
	keep := func([]string) lentilmux.ServiceReply { return lentilmux.ServiceReply{} }
	result, err := vm.Relay().Answer(ctx, request, engine.Prompt{Text: "hello", MaxTokens: 12}, print, keep)
	fmt.Printf("\n%d tokens\n", result.Tokens)
	return err
}

// newVM returns an entry VM around stand-ins.
func newVM() (vm *entryvm.VM, err error) {
	engines := standin.NewEngines()
	for i := range uint16(2) {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), i+1)
		engines.Add(addr, standin.NewEngine(standin.EngineSpec{Layers: 16, Rate: 4000, Slots: 8}))
	}
	logger := logrus.New()
	logger.SetLevel(logrus.WarnLevel)
	return entryvm.New(entryvm.Config{Name: "embedded", Zone: "here", Seed: 1, Limits: table.DefaultLimits(), Logger: logger}, entryvm.Dependencies{
		Engine: engines, Service: standin.Services{}, Log: standin.NewLog(0), VMList: standin.NewVMList(0), Peer: peer.NewClient("", nil),
	})
}

// configure submits a statement until the node, which may still be starting,
// accepts it.
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
