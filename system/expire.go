package system

import (
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// ExpireRequests refuses requests that waited past their deadline or whose key
// the log did not confirm in time. It reads Pipelines, Services and Upstreams,
// and reads and writes Requests. Running requests are left out: their traffic
// goroutines end them at their deadlines.
type ExpireRequests struct{}

// Run implements [System].
func (s *ExpireRequests) Run(t *table.Tables, now time.Time) {
	for i := len(t.Requests.Rows) - 1; i >= 0; i-- {
		if i >= len(t.Requests.Rows) {
			continue // refusing a request can remove others
		}
		r := &t.Requests.Rows[i]
		if r.State == table.RequestRunning {
			continue
		}
		if refusal := s.expiryRefusal(t, now, r); refusal != nil {
			refuse(t, now, r, *refusal)
			continue
		}
		t.WakeAt(r.Request.Deadline)
		if r.State == table.RequestClaiming {
			t.WakeAt(r.QueuedAt.Add(t.Limits.ClaimTimeout))
		}
	}
}

// expiryRefusal returns the refusal of a waiting request whose time is up, or
// nil.
func (s *ExpireRequests) expiryRefusal(t *table.Tables, now time.Time, r *table.Request) *lentilmux.Refusal {
	deadlinePassed := !now.Before(r.Request.Deadline)
	var refusal lentilmux.Refusal
	switch {
	case deadlinePassed && r.State == table.RequestJoined:
		refusal = unknownRefusal(lentilmux.ReasonKeyRunning, time.Second, "the first request with this key still runs; send the key again for its answer")
	case deadlinePassed && !hasLiveUpstreams(t, r.Target):
		refusal = notRunRefusal(lentilmux.ReasonNoUpstream, time.Second, "no upstream of %q took it within %s", r.Target, now.Sub(r.ArrivedAt).Round(time.Millisecond))
	case deadlinePassed:
		refusal = notRunRefusal(lentilmux.ReasonDeadline, time.Second, "waited %s in state %s", now.Sub(r.ArrivedAt).Round(time.Millisecond), r.State)
	case r.State == table.RequestClaiming && now.Sub(r.QueuedAt) >= t.Limits.ClaimTimeout:
		refusal = notRunRefusal(lentilmux.ReasonLogUnavailable, t.Limits.ClaimTimeout, "the log did not confirm the key in time")
	default:
		return nil
	}
	return &refusal
}

// hasLiveUpstreams reports whether the target has upstreams that are not
// ejected: for a pipeline engines for all its layers, for a service at least
// one upstream.
func hasLiveUpstreams(t *table.Tables, target string) bool {
	if p := t.Pipelines.Find(target); p != nil {
		return p.MaxThroughput > 0
	}
	service := t.Services.Find(target)
	if service == nil {
		return false
	}
	for _, row := range service.Replicas {
		if t.Upstreams.Rows[row].EjectedUntil.IsZero() {
			return true
		}
	}
	return false
}
