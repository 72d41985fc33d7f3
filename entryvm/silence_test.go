package entryvm_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/standin"
)

// TestSilenceEndsNoAttempt guards against an attempt that is given up because its
// engine fell silent for a moment, and a caller who then waits for another engine
// until the deadline. The engine answers neither steps nor probes for 1.4 s and then
// goes on; the other engine of its stage refuses all work.
func TestSilenceEndsNoAttempt(t *testing.T) {
	const (
		tokens  = 200
		silence = 1400 * time.Millisecond
		timeout = 2500 * time.Millisecond // the answer takes 0.8 s without the silence
	)
	for offset := 50 * time.Millisecond; offset <= 550*time.Millisecond; offset += 100 * time.Millisecond {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2)
				defer c.stopAll()
				done := make(chan response)
				go func() { done <- c.chat(c.vms[0], "hello", tokens, timeout) }()
				time.Sleep(offset)
				silent := busiest(c)
				for _, worker := range c.workers {
					if worker != silent && sameLayers(t, worker, silent) {
						worker.Kill()
					}
				}
				silent.Freeze()
				time.Sleep(silence)
				silent.Thaw()
				r := <-done
				if r.Text != expectedAnswer("hello", tokens) {
					t.Errorf("the answer is not complete: %+v", r)
				}
				if violation := checkLayers(c, r.RequestID, tokens); violation != "" {
					t.Error(violation)
				}
				if newest := newestEpoch(silent); newest != 1 {
					t.Errorf("the silent engine was sent attempt %d, want only the first", newest)
				}
			})
		})
	}
}

// TestFrozenEngineIsLeftInTime guards against answers that wait for a frozen engine
// longer than the recovery target, wherever the freeze falls between two load
// reports.
func TestFrozenEngineIsLeftInTime(t *testing.T) {
	const (
		tokens    = 200
		remaining = time.Second // for the rest of the answer after recovery
	)
	for offset := 50 * time.Millisecond; offset <= 550*time.Millisecond; offset += 100 * time.Millisecond {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2)
				defer c.stopAll()
				done := make(chan response)
				go func() { done <- c.chat(c.vms[0], "hello", tokens, 30*time.Second) }()
				time.Sleep(offset)
				frozenAt := time.Now()
				busiest(c).Freeze()
				r := <-done
				took := time.Since(frozenAt)
				if r.Text != expectedAnswer("hello", tokens) {
					t.Errorf("the answer is not complete: %+v", r)
				}
				t.Logf("complete %s after the freeze", took)
				if took > recoveryTarget["freeze"]+remaining {
					t.Errorf("the answer was complete only %s after the freeze", took)
				}
			})
		})
	}
}

// sameLayers reports whether two engines hold the same layers.
func sameLayers(t *testing.T, a, b *standin.Engine) bool {
	t.Helper()
	first, err := a.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	second, err := b.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return first.Layers == second.Layers
}

// newestEpoch returns the newest epoch of the steps that an engine ran.
func newestEpoch(engine *standin.Engine) (newest lentilmux.Epoch) {
	for _, entry := range engine.Ledger() {
		newest = max(newest, entry.Epoch)
	}
	return newest
}
