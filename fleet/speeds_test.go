package fleet_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
)

// TestSpeedBounds guards against ratios that make the cost of an upstream infinite or
// no number, whatever digests and reports say.
func TestSpeedBounds(t *testing.T) {
	odd := rapid.SampledFrom([]float64{math.Inf(-1), -1, 0, 1e-300, 0.5, 1, 3, 1e6, math.MaxFloat64, math.Inf(1), math.NaN()})
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		row := fleet.UpstreamRow{Slowdown: odd.Draw(t, "slowdown")}
		for range rapid.IntRange(1, 5).Draw(t, "digests") {
			speed := lentilmux.UpstreamSpeed{Step: odd.Draw(t, "step"), Prefill: odd.Draw(t, "prefill"), Pauses: odd.Draw(t, "pauses"), Weight: odd.Draw(t, "weight")}
			row.AddPeerSpeed(speed, odd.Draw(t, "known slowdown"), now)
		}
		got := row.SpeedAt(now.Add(time.Duration(rapid.IntRange(-1000, 100000).Draw(t, "age")) * time.Millisecond))
		if got.Weight == 0 {
			return // not in use
		}
		for _, ratio := range []float64{got.Step, got.Prefill} {
			if !(ratio >= 0.1 && ratio <= 10) {
				t.Fatalf("speed %+v", got)
			}
		}
		if !(got.Pauses >= 0 && got.Pauses <= 1) {
			t.Fatalf("speed %+v", got)
		}
	})
}

// TestReportedSlowdownCountsOnce guards against a slowdown that counts twice: first it
// is learned, and then the upstream reports it.
func TestReportedSlowdownCountsOnce(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	row := fleet.UpstreamRow{Slowdown: 1}
	row.AddPeerSpeed(lentilmux.UpstreamSpeed{Step: 3, Prefill: 3, Weight: 1000}, 1, now)
	if got := row.SpeedAt(now).Step; math.Abs(got-3) > 0.1 {
		t.Errorf("ratio %f before the report, want 3", got)
	}
	row.Slowdown = 3
	if got := row.SpeedAt(now).Step; math.Abs(got-1) > 0.1 {
		t.Errorf("ratio %f after the report of a slowdown of 3, want 1", got)
	}
}
