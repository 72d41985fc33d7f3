package entryvm_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/standin"
)

// TestStaleOrderIsReverted guards against a stale layer order that reaches an
// engine which ignores fencing tokens, for example because the sender was paused
// while the order was in flight. Completions must stay correct and the engine
// must return to its layer range.
func TestStaleOrderIsReverted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		worker := standin.NewEngine(standin.EngineSpec{Name: "worker-1", MaxLayers: testLayers, LayerStepsPerSecond: 2000, Slots: 8, IgnoresFence: true})
		c.workers = append(c.workers, worker)
		c.engines.Add(address(9100), worker)
		time.Sleep(5 * time.Second)
		before, err := worker.Load(t.Context())
		if err != nil || !before.HasLayers {
			t.Fatalf("the engine reports %+v, %v", before, err)
		}
		stale := lentilmux.Order{Model: testModel, Layers: lentilmux.LayerRange{First: 0, Last: testLayers - 1}, Fence: 1}
		if err := worker.Order(t.Context(), stale); err != nil {
			t.Fatal(err)
		}
		for range 20 {
			if r := c.chat(c.vms[0], "hello", 5, 10*time.Second); r.Text != expectedAnswer("hello", 5) {
				t.Errorf("after a stale order: %+v", r)
			}
		}
		time.Sleep(5 * time.Second)
		after, err := worker.Load(t.Context())
		if err != nil || !after.HasLayers || after.Layers != before.Layers {
			t.Errorf("the engine reports %+v, %v; want layers %+v", after, err, before.Layers)
		}
	})
}
