package entryvm_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPipelineIsReplacedWhenStageIsLost guards against a pipeline that stays
// unavailable when all engines of one stage fail. The remaining engines must take
// over its layers, and the failed ones must be included again after they return.
func TestPipelineIsReplacedWhenStageIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		stageLayers := c.workers[0].Spec().MaxLayers
		var enginesByStage [2]int
		for _, worker := range c.workers {
			report, err := worker.Load(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if report.Layers.First == 0 {
				enginesByStage[0]++
				worker.Kill()
			} else {
				enginesByStage[1]++
			}
		}
		if enginesByStage != [2]int{2, 2} || stageLayers != testLayers/2 {
			t.Fatalf("unexpected placement %v", enginesByStage)
		}
		time.Sleep(20 * time.Second)
		r := c.chat(c.vms[0], "hello", 10, 20*time.Second)
		if r.Text != expectedAnswer("hello", 10) {
			t.Fatalf("a request after the loss of a stage returned %+v", r)
		}
		for _, worker := range c.workers {
			worker.Revive()
		}
		time.Sleep(time.Minute)
		excluded := 0
		for _, u := range c.snapshot(c.vms[1]).Upstreams {
			if u.Excluded {
				excluded++
			}
		}
		if excluded > 0 {
			t.Errorf("%d engines are still excluded a minute after their return", excluded)
		}
		if r := c.chat(c.vms[2], "hello", 10, 20*time.Second); r.Text != expectedAnswer("hello", 10) {
			t.Errorf("a request after the return of the engines returned %+v", r)
		}
	})
}
