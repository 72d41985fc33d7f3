package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// An upstream may report that it is healthy and still break every connection, answer
// with malformed heads, or send answers without end. Outlier ejection covers this: after several failed attempts in a row, the
// upstream is not selected as the first hop of a path, or for a service without
// layers, while there is an alternative. It is tried again when the ejection
// expires. Only an answer that begins, or a restart of the upstream, ends the
// ejection early and resets the count of failures; a report does not. Each answer
// without end begins, so after one only a whole answer or a restart does.

// recordBrokenAttempt counts an attempt whose connection broke before the answer
// began, or whose answer had a malformed head, and ejects the upstream after MaxConsecutiveFailures in a row. The
// ejection doubles with each further failure, up to MaxEjectDuration.
func (t *Tables) recordBrokenAttempt(row *UpstreamRow, now time.Time) {
	row.ConsecutiveFailures++
	t.ejectOutlier(row, now)
}

// recordTooLargeAnswer counts an answer that exceeded a size limit, whether it had
// begun or not, and ejects the upstream like one that breaks its connections.
func (t *Tables) recordTooLargeAnswer(row *UpstreamRow, now time.Time) {
	row.TooLargeAnswers++
	t.ejectOutlier(row, now)
}

// ejectOutlier ejects an upstream of which MaxConsecutiveFailures attempts in a row
// have failed.
func (t *Tables) ejectOutlier(row *UpstreamRow, now time.Time) {
	count := row.ConsecutiveFailures + row.TooLargeAnswers
	excess := count - t.Limits.MaxConsecutiveFailures
	if excess < 0 {
		return
	}
	duration := min(t.Limits.BaseEjectDuration<<min(excess, 8), t.Limits.MaxEjectDuration)
	row.EjectedUntil = now.Add(duration)
	t.RecordDecision(lentilmux.Decision{What: "upstream_ejected", Subject: row.ID, Chosen: duration.String(), Reason: fmt.Sprintf("%d consecutive attempts failed", count)})
}

// clearEjection ends the ejection of a request's first hop, where an answer has
// begun, or is whole.
func (t *Tables) clearEjection(request *RequestRow, whole bool) {
	if len(request.Reservations) == 0 {
		return
	}
	if row := t.Upstreams.Find(request.Reservations[0].Upstream); row != nil && (whole || row.TooLargeAnswers == 0) {
		row.endEjection()
	}
}

// endEjection ends the ejection of an upstream and forgets its failures.
func (u *UpstreamRow) endEjection() {
	u.ConsecutiveFailures, u.TooLargeAnswers, u.EjectedUntil = 0, 0, time.Time{}
}

// excludeEjected removes upstreams that are ejected or paused, turned a request away
// lately or run a trial, and the one of the last attempt, from the candidates, unless no
// candidate would be left.
func (a *AdmitRequests) excludeEjected(t *Tables, lastUpstream string, now time.Time) {
	keptCount := 0
	for i, row := range a.rows {
		if row.ID != lastUpstream && !now.Before(row.EjectedUntil) && !now.Before(row.FullUntil) && row.Trials == 0 && !t.isPaused(row, now) {
			a.rows[keptCount], a.candidates[keptCount] = row, a.candidates[i]
			keptCount++
		}
	}
	if keptCount > 0 {
		a.rows, a.candidates = a.rows[:keptCount], a.candidates[:keptCount]
	}
}

// excludePaused keeps paused upstreams from being the first hop of a path.
func (a *AdmitRequests) excludePaused(t *Tables, now time.Time) {
	for i, row := range a.rows {
		if t.isPaused(row, now) {
			a.nodes[i].Full = true
		}
	}
}

// excludeFirstHops keeps ejected and paused upstreams, those with a trial and the one
// of the last attempt from being the first hop of a path. It reports whether there
// were any.
func (a *AdmitRequests) excludeFirstHops(t *Tables, lastUpstream string, now time.Time) (excluded bool) {
	for i, row := range a.rows {
		if row.ID == lastUpstream || now.Before(row.EjectedUntil) || row.Trials > 0 || t.isPaused(row, now) {
			a.nodes[i].Full, excluded = true, true
		}
	}
	return excluded
}
