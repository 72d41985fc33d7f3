package engine_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/engine"
	"lentilmux.example/lentilmux/standin"
)

// testEngine is an engine on a network in memory, and a client for it.
type testEngine struct {
	*standin.Engine
	network *standin.PipeNetwork
	host    *standin.Host
	addr    netip.AddrPort
	client  *engine.Client
}

// runWithEngine runs a test in a testing/synctest bubble, whose clock advances
// only while all goroutines wait. The engine holds all four layers of the model
// "lentil" and runs up to two requests concurrently.
func runWithEngine(t *testing.T, test func(t *testing.T, e *testEngine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewPipeNetwork()
		e := &testEngine{
			Engine:  standin.NewEngine(standin.EngineSpec{Name: "worker-1", MaxLayers: 4, Slots: 2}),
			network: network,
			addr:    netip.MustParseAddrPort("127.0.0.1:9100"),
			client:  engine.NewClient(engine.WithDial(network.DialContext)),
		}
		e.host = standin.NewPipeHost(network, e.addr, standin.EngineHandler(e.Engine))
		if err := e.host.Open(); err != nil {
			t.Fatal(err)
		}
		defer e.host.Close()
		order := lentilmux.Order{Model: "lentil", Layers: lentilmux.LayerRange{First: 0, Last: 3}, Fence: 1}
		if err := e.client.SendOrder(t.Context(), e.addr, order); err != nil {
			t.Fatal(err)
		}
		test(t, e)
	})
}

// openStage opens a stage that runs all four layers for five tokens.
func (e *testEngine) openStage(t *testing.T, id string) lentilmux.Stage {
	t.Helper()
	stage, err := e.client.OpenStage(t.Context(), e.addr, lentilmux.StageOpen{
		Request: lentilmux.RequestID(id), Epoch: 1, Model: "lentil", Layers: lentilmux.LayerRange{First: 0, Last: 3}, TotalLayers: 4, Prompt: "hello", MaxTokens: 5,
	})
	if err != nil {
		t.Fatal(err)
	}
	return stage
}

// TestStageOverHTTP guards against steps that are mixed up or changed on the
// connection: it runs a request of five tokens and expects each token, with the
// end mark on the last.
func TestStageOverHTTP(t *testing.T) {
	runWithEngine(t, func(t *testing.T, e *testEngine) {
		stage := e.openStage(t, "r1")
		previous := ""
		for position, want := range standin.ExpectedTokens("lentil", 4, "hello", 5) {
			output, err := stage.Step(t.Context(), lentilmux.StepInput{Position: position, Token: previous})
			if err != nil || output.Token != want || output.End != (position == 4) {
				t.Fatalf("position %d: got %+v, error %v, want token %q", position, output, err, want)
			}
			previous = output.Token
		}
	})
}

// TestCloseFreesEngineSlots guards against engines that keep running requests
// whose stage the router has closed. Four requests, one after another, must leave
// none running within a second.
func TestCloseFreesEngineSlots(t *testing.T) {
	runWithEngine(t, func(t *testing.T, e *testEngine) {
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			stage := e.openStage(t, id)
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
		t.Error("the engine still reports running requests 1 s after their stages were closed")
	})
}

// TestSilentConnectionIsNoticedAndReplaced guards against requests that hang on
// a connection whose packets are dropped without a reset. Pings must detect it
// within 10 s, and after a probe new streams must use a new connection.
func TestSilentConnectionIsNoticedAndReplaced(t *testing.T) {
	runWithEngine(t, func(t *testing.T, e *testEngine) {
		stage := e.openStage(t, "r1")
		if _, err := stage.Step(t.Context(), lentilmux.StepInput{}); err != nil {
			t.Fatal(err)
		}
		e.host.BlackholeConns()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		started := time.Now()
		if _, err := stage.Step(ctx, lentilmux.StepInput{Position: 1}); err == nil {
			t.Fatal("a step on a silent connection succeeded, want an error")
		}
		t.Logf("silent connection detected after %s", time.Since(started))
		if ctx.Err() != nil {
			t.Fatal("the silent connection was not detected within 10 s")
		}
		if err := e.client.Probe(t.Context(), e.addr); err != nil {
			t.Fatalf("probe on a new connection failed: %v", err)
		}
		if _, err := e.openStage(t, "r2").Step(t.Context(), lentilmux.StepInput{}); err != nil {
			t.Fatalf("step on a new stream after the probe failed: %v", err)
		}
	})
}

// TestProbeTellsSilentFromDead guards against a frozen engine whose probe fails in
// the same way as that of a dead one: only the former may go on.
func TestProbeTellsSilentFromDead(t *testing.T) {
	runWithEngine(t, func(t *testing.T, e *testEngine) {
		e.Freeze()
		defer e.Thaw()
		if err := e.client.Probe(t.Context(), e.addr); !isTimeout(err) {
			t.Errorf("probe of a frozen engine: error %v, want a timeout", err)
		}
		e.host.Close()
		if err := e.client.Probe(t.Context(), e.addr); err == nil || isTimeout(err) {
			t.Errorf("probe of a closed host: error %v, want a refused connection", err)
		}
	})
}

// isTimeout reports whether err is an upstream error of the kind timeout.
func isTimeout(err error) bool {
	var upstreamError *lentilmux.UpstreamError
	return errors.As(err, &upstreamError) && upstreamError.Kind == lentilmux.FailureTimeout
}

// unusedAddr returns a loopback address at which nothing listens. Until the test
// ends it belongs to a client's connection, so that no other process takes it.
func unusedAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		_ = listener.Close()
	})
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

// TestStoppedEngineIsDialFailure guards against treating a request to an engine
// that does not listen as one that may have run or crashed the engine.
func TestStoppedEngineIsDialFailure(t *testing.T) {
	client := engine.NewClient()
	stage, err := client.OpenStage(t.Context(), unusedAddr(t), lentilmux.StageOpen{Request: "r1", Epoch: 1, Model: "lentil", TotalLayers: 4, Prompt: "hello", MaxTokens: 5})
	if err == nil {
		_, err = stage.Step(t.Context(), lentilmux.StepInput{})
	}
	var upstreamErr *lentilmux.UpstreamError
	if !errors.As(err, &upstreamErr) || upstreamErr.Kind != lentilmux.FailureDial {
		t.Errorf("stage on an engine that does not listen: got error %v, want kind dial", err)
	}
}

// TestRefusedAndBrokenStages guards against confusing a stage that the engine
// refuses, here for a model that it does not hold, with one whose engine stops
// while the request runs, which counts as a crash.
func TestRefusedAndBrokenStages(t *testing.T) {
	runWithEngine(t, func(t *testing.T, e *testEngine) {
		stage, err := e.client.OpenStage(t.Context(), e.addr, lentilmux.StageOpen{Request: "r1", Epoch: 1, Model: "another", TotalLayers: 4, Prompt: "hello", MaxTokens: 5})
		if err == nil {
			_, err = stage.Step(t.Context(), lentilmux.StepInput{})
		}
		var upstreamErr *lentilmux.UpstreamError
		if !errors.As(err, &upstreamErr) || upstreamErr.Kind != lentilmux.FailureRefused {
			t.Errorf("stage with layers that the engine does not hold: got error %v, want kind refused", err)
		}
		running := e.openStage(t, "r2")
		if _, err := running.Step(t.Context(), lentilmux.StepInput{}); err != nil {
			t.Fatal(err)
		}
		e.host.Close()
		_, err = running.Step(t.Context(), lentilmux.StepInput{Position: 1})
		if !errors.As(err, &upstreamErr) || upstreamErr.Kind != lentilmux.FailureCrash {
			t.Errorf("step on a stage whose engine has stopped: got error %v, want kind crash", err)
		}
	})
}
