package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// An upstream may report that it is well and still break every connection. What
// it does to requests speaks against it then: it is shunned as the first of a
// path after sends that broke in a row, and tried again after a while. Only an
// answer that begins clears it, not a report.

// recordBrokenAttempt counts a send that broke before an answer began.
func (t *Tables) recordBrokenAttempt(row *UpstreamRow, now time.Time) {
	row.ConsecutiveFailures++
	excess := row.ConsecutiveFailures - t.Limits.MaxConsecutiveFailures
	if excess < 0 {
		return
	}
	duration := min(t.Limits.BaseEjectDuration<<min(excess, 8), t.Limits.MaxEjectDuration)
	row.EjectedUntil = now.Add(duration)
	t.RecordDecision(lentilmux.Decision{What: "upstream_shunned", Subject: row.ID, Chosen: duration.String(), Reason: fmt.Sprintf("%d sends in a row broke", row.ConsecutiveFailures)})
}

// clearEjection notes that an answer began at the first upstream of a request.
func (t *Tables) clearEjection(request *RequestRow) {
	if len(request.Reservations) == 0 {
		return
	}
	if row := t.Upstreams.Find(request.Reservations[0].Upstream); row != nil {
		row.ConsecutiveFailures, row.EjectedUntil = 0, time.Time{}
	}
}

// excludeEjected takes upstreams off that are shunned, and the one of the last leg, if
// others are left.
func (a *AdmitRequests) excludeEjected(last string, now time.Time) {
	kept := 0
	for i, row := range a.rows {
		if row.ID != last && !now.Before(row.EjectedUntil) {
			a.rows[kept], a.candidates[kept] = row, a.candidates[i]
			kept++
		}
	}
	if kept > 0 {
		a.rows, a.candidates = a.rows[:kept], a.candidates[:kept]
	}
}

// excludeFirstHops keeps upstreams that are shunned, and the one of the last leg, from
// being the first of a path. It returns whether there were any.
func (a *AdmitRequests) excludeFirstHops(last string, now time.Time) (excluded bool) {
	for i, row := range a.rows {
		if row.ID == last || now.Before(row.EjectedUntil) {
			a.nodes[i].Full, excluded = true, true
		}
	}
	return excluded
}
