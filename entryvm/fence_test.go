package entryvm_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/standin"
)

// TestOldOrderIsUndone lets an engine that ignores fencing numbers obey an old
// order, as one that was on its way while its sender was paused. Answers stay
// right and the engine comes back to its range.
func TestOldOrderIsUndone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		worker := standin.NewEngine(standin.EngineSpec{Name: "worker-1", Layers: testLayers, Rate: 2000, Slots: 8, IgnoresFence: true})
		c.workers = append(c.workers, worker)
		c.engines.Add(address(9100), worker)
		time.Sleep(5 * time.Second)
		before, err := worker.Load(t.Context())
		if err != nil || !before.HasLayers {
			t.Fatalf("the engine holds %+v, %v", before, err)
		}
		old := lentilmux.Order{Model: testModel, Layers: lentilmux.LayerRange{First: 0, Last: testLayers - 1}, Fence: 1}
		if err := worker.Order(t.Context(), old); err != nil {
			t.Fatal(err)
		}
		for range 20 {
			if r := c.chat(c.vms[0], "hello", 5, 10*time.Second); r.Text != expected("hello", 5) {
				t.Errorf("after an old order: %+v", r)
			}
		}
		time.Sleep(5 * time.Second)
		after, err := worker.Load(t.Context())
		if err != nil || !after.HasLayers || after.Layers != before.Layers {
			t.Errorf("the engine holds %+v, %v; it should hold %+v", after, err, before.Layers)
		}
	})
}
