package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// Readiness decides whether the balancer may send new connections to this VM. It
// reads Events.BeginDrain, Streams and Rules and writes Self.
type Readiness struct{}

// Run implements [System].
func (r *Readiness) Run(t *Tables, now time.Time) {
	if t.Events.BeginDrain && !t.Self.Draining {
		t.Self.Draining, t.Self.DrainAt = true, now
	}
	reason := r.reason(t, now)
	if ready := reason == ""; ready != t.Self.Ready || reason != t.Self.Reason {
		t.Self.Ready, t.Self.Reason = ready, reason
		t.AddEffect(lentilmux.ReadinessEffect{Ready: ready, Reason: reason})
		t.RecordDecision(lentilmux.Decision{What: "readiness", Subject: t.Self.Name, Chosen: map[bool]string{true: "ready", false: "not_ready"}[ready], Reason: reason})
	}
	if t.Self.Ready {
		t.WakeAt(t.Streams.Rules.AsOf.Add(t.Limits.MaxReadyConfigAge + time.Millisecond))
	}
}

// reason returns why this VM is not ready, or an empty string if it is.
func (r *Readiness) reason(t *Tables, now time.Time) string {
	switch {
	case t.Self.Draining:
		return "draining"
	case !t.Rules.Loaded:
		return "no configuration yet"
	case t.Streams.Upstreams.AsOf.IsZero():
		return "no upstreams known yet"
	case now.Sub(t.Streams.Rules.AsOf) > t.Limits.MaxReadyConfigAge:
		return "configuration too old"
	default:
		return ""
	}
}
