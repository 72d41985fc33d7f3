package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// An upstream may report that it is healthy and still break every connection.
// Outlier ejection covers this: after attempts that failed in a row, the upstream
// is no longer used as the first hop of a path, and is tried again after a while.
// Only an answer that begins ends the ejection; a report does not.

// recordBrokenAttempt counts an attempt whose connection broke before the answer
// began, and ejects the upstream after MaxConsecutiveFailures in a row. The
// ejection doubles with each further failure, up to MaxEjectDuration.
func (t *Tables) recordBrokenAttempt(row *UpstreamRow, now time.Time) {
	row.ConsecutiveFailures++
	excess := row.ConsecutiveFailures - t.Limits.MaxConsecutiveFailures
	if excess < 0 {
		return
	}
	duration := min(t.Limits.BaseEjectDuration<<min(excess, 8), t.Limits.MaxEjectDuration)
	row.EjectedUntil = now.Add(duration)
	t.RecordDecision(lentilmux.Decision{What: "upstream_ejected", Subject: row.ID, Chosen: duration.String(), Reason: fmt.Sprintf("%d consecutive attempts failed", row.ConsecutiveFailures)})
}

// clearEjection ends the ejection of a request's first hop, where an answer has
// begun.
func (t *Tables) clearEjection(request *RequestRow) {
	if len(request.Reservations) == 0 {
		return
	}
	if row := t.Upstreams.Find(request.Reservations[0].Upstream); row != nil {
		row.ConsecutiveFailures, row.EjectedUntil = 0, time.Time{}
	}
}

// excludeEjected removes ejected upstreams and the one of the last attempt from
// the candidates, unless no candidate would be left.
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

// excludeFirstHops keeps ejected upstreams and the one of the last attempt from
// being the first hop of a path. It reports whether there were any.
func (a *AdmitRequests) excludeFirstHops(last string, now time.Time) (excluded bool) {
	for i, row := range a.rows {
		if row.ID == last || now.Before(row.EjectedUntil) {
			a.nodes[i].Full, excluded = true, true
		}
	}
	return excluded
}
