package entryvm_test

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestPipelineIsPlacedAnewWhenAStageIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		lost := c.workers[0].Spec().Layers
		var held [2]int
		for _, worker := range c.workers {
			report, err := worker.Load(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if report.Layers.First == 0 {
				held[0]++
				worker.Kill()
			} else {
				held[1]++
			}
		}
		if held != [2]int{2, 2} || lost != testLayers/2 {
			t.Fatalf("unexpected placement %v", held)
		}
		time.Sleep(20 * time.Second)
		r := c.chat(c.vms[0], "hello", 10, 20*time.Second)
		if r.Text != expected("hello", 10) {
			t.Fatalf("after the loss of a stage: %+v", r)
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
			t.Errorf("%d engines are still excluded a minute after they came back", excluded)
		}
		if r := c.chat(c.vms[2], "hello", 10, 20*time.Second); r.Text != expected("hello", 10) {
			t.Errorf("after the return: %+v", r)
		}
	})
}
