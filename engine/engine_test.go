package engine_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/engine"
	"lentilmux.example/lentilmux/standin"
)

// serveEngine serves an engine that holds a whole model of four layers.
func serveEngine(t *testing.T, port uint16) (e *standin.Engine, host *standin.Host, addr netip.AddrPort) {
	t.Helper()
	addr = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	e = standin.NewEngine(standin.EngineSpec{Name: "worker-1", Layers: 4, Slots: 2})
	host = standin.NewHost(addr, standin.EngineHandler(e))
	if err := host.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	order := lentilmux.Order{Model: "lentil", Layers: lentilmux.LayerRange{First: 0, Last: 3}, Fence: 1}
	if err := engine.NewClient().SendOrder(t.Context(), addr, order); err != nil {
		t.Fatal(err)
	}
	return e, host, addr
}

func open(t *testing.T, client *engine.Client, addr netip.AddrPort, id string) lentilmux.Stage {
	t.Helper()
	stage, err := client.OpenStage(t.Context(), addr, lentilmux.StageOpen{
		Request: lentilmux.RequestID(id), Epoch: 1, Model: "lentil", Layers: lentilmux.LayerRange{First: 0, Last: 3}, TotalLayers: 4, Prompt: "hello", MaxTokens: 5,
	})
	if err != nil {
		t.Fatal(err)
	}
	return stage
}

func TestStageOverHTTP(t *testing.T) {
	_, _, addr := serveEngine(t, 19401)
	client := engine.NewClient()
	stage := open(t, client, addr, "r1")
	previous := ""
	for position, want := range standin.ExpectedTokens("lentil", 4, "hello", 5) {
		output, err := stage.Step(t.Context(), lentilmux.StepInput{Position: position, Token: previous})
		if err != nil || output.Token != want || output.End != (position == 4) {
			t.Fatalf("position %d: %+v, %v; want %q", position, output, err, want)
		}
		previous = output.Token
	}
}

func TestCloseFreesTheEngine(t *testing.T) {
	e, _, addr := serveEngine(t, 19402)
	client := engine.NewClient()
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		stage := open(t, client, addr, id)
		if _, err := stage.Step(t.Context(), lentilmux.StepInput{}); err != nil {
			t.Fatal(err)
		}
		if err := stage.Close(); err != nil {
			t.Fatal(err)
		}
	}
	for range 100 {
		report, err := e.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if report.Running == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the engine still counts streams that were closed")
}

func TestSilentConnectionIsNoticedAndReplaced(t *testing.T) {
	_, host, addr := serveEngine(t, 19403)
	client := engine.NewClient()
	stage := open(t, client, addr, "r1")
	if _, err := stage.Step(t.Context(), lentilmux.StepInput{}); err != nil {
		t.Fatal(err)
	}
	host.BlackholeConns()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	started := time.Now()
	if _, err := stage.Step(ctx, lentilmux.StepInput{Position: 1}); err == nil {
		t.Fatal("a step over a silent connection succeeded")
	}
	t.Logf("noticed after %s", time.Since(started))
	if ctx.Err() != nil {
		t.Fatal("the silent connection was not noticed within 10 s")
	}
	if err := client.Probe(t.Context(), addr); err != nil {
		t.Fatalf("the engine answers on new connections: %v", err)
	}
	if _, err := open(t, client, addr, "r2").Step(t.Context(), lentilmux.StepInput{}); err != nil {
		t.Fatalf("a new stream after the probe: %v", err)
	}
}

func TestDeadEngineIsAFailedDial(t *testing.T) {
	_, host, addr := serveEngine(t, 19404)
	host.Close()
	client := engine.NewClient()
	stage, err := client.OpenStage(t.Context(), addr, lentilmux.StageOpen{Request: "r1", Epoch: 1, Model: "lentil", TotalLayers: 4, Prompt: "hello", MaxTokens: 5})
	if err == nil {
		_, err = stage.Step(t.Context(), lentilmux.StepInput{})
	}
	var stepError *lentilmux.UpstreamError
	if !errors.As(err, &stepError) || stepError.Kind != lentilmux.FailureDial {
		t.Errorf("an engine that does not listen gave %v", err)
	}
}

func TestRefusedAndBrokenStages(t *testing.T) {
	_, host, addr := serveEngine(t, 19405)
	client := engine.NewClient()
	stage, err := client.OpenStage(t.Context(), addr, lentilmux.StageOpen{Request: "r1", Epoch: 1, Model: "another", TotalLayers: 4, Prompt: "hello", MaxTokens: 5})
	if err == nil {
		_, err = stage.Step(t.Context(), lentilmux.StepInput{})
	}
	var stepError *lentilmux.UpstreamError
	if !errors.As(err, &stepError) || stepError.Kind != lentilmux.FailureRefused {
		t.Errorf("layers that the engine does not hold gave %v", err)
	}
	running := open(t, client, addr, "r2")
	if _, err := running.Step(t.Context(), lentilmux.StepInput{}); err != nil {
		t.Fatal(err)
	}
	host.Close()
	_, err = running.Step(t.Context(), lentilmux.StepInput{Position: 1})
	if !errors.As(err, &stepError) || stepError.Kind != lentilmux.FailureCrash {
		t.Errorf("a stage whose engine died gave %v", err)
	}
}
