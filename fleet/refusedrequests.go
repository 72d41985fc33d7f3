package fleet

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// RefusedRequestRow is a request that some VM refused for want of room and whose caller
// may return to any VM.
type RefusedRequestRow struct {
	Request    lentilmux.RequestHash
	Until      time.Time             // for which the caller is expected
	RecordedAt time.Time             // when this VM first knew
	Scope      lentilmux.DigestScope // the narrowest set of VMs that is known to contain the one that refused it: this one, its zone or all
}

// RefusedRequests is the table of refused requests whose callers may return.
type RefusedRequests struct {
	Rows           []RefusedRequestRow
	indexByRequest map[lentilmux.RequestHash]int
}

const (
	// maxRefusedRequests bounds the table. A fleet that refuses 100 requests a second
	// expects about 500 callers.
	maxRefusedRequests = 1024
	// returnGrace is how long a caller is expected after the time that it was told.
	returnGrace = 3 * time.Second
	// maxReturnDelay bounds the time for which a caller is expected, also by a digest.
	maxReturnDelay = minRoomRetryAfter + maxStreamDuration + returnGrace
	// refusedGossipDuration is the time for which digests tell of a request: some of them
	// may be lost, and a caller returns after about minRoomRetryAfter at the earliest.
	refusedGossipDuration = 1500 * time.Millisecond
	// refusedCleanInterval is the time between two removals of old rows.
	refusedCleanInterval = 500 * time.Millisecond
)

// maxRefusedInDigest bounds the requests in a digest, by its scope. Each takes about 6
// bytes.
var maxRefusedInDigest = [...]int{lentilmux.ScopeVM: 64, lentilmux.ScopeZone: 128, lentilmux.ScopeFleet: 256}

// Expects reports whether the caller of a request was refused before and may return.
func (r *RefusedRequests) Expects(fingerprint lentilmux.Fingerprint, now time.Time) (expects bool) {
	i, ok := r.indexByRequest[lentilmux.HashRequest(fingerprint)]
	return ok && now.Before(r.Rows[i].Until)
}

// record adds a request. If the table is full, the request is not recorded: its caller is
// served like a new one.
func (r *RefusedRequests) record(row RefusedRequestRow) {
	if i, ok := r.indexByRequest[row.Request]; ok {
		known := &r.Rows[i]
		if row.Until.After(known.Until) {
			known.Until = row.Until
		}
		known.Scope = min(known.Scope, row.Scope)
		return
	}
	if len(r.Rows) >= maxRefusedRequests {
		return
	}
	if r.indexByRequest == nil {
		r.indexByRequest = make(map[lentilmux.RequestHash]int)
	}
	r.indexByRequest[row.Request] = len(r.Rows)
	r.Rows = append(r.Rows, row)
}

// removeExpired removes the requests whose callers are expected no longer.
func (r *RefusedRequests) removeExpired(now time.Time) {
	r.Rows = slices.DeleteFunc(r.Rows, func(row RefusedRequestRow) bool { return !now.Before(row.Until) })
	clear(r.indexByRequest)
	for i, row := range r.Rows {
		r.indexByRequest[row.Request] = i
	}
}

// noteRefused records a request that is refused for want of room and has not run, so that
// its caller is recognized when it returns. One that fits nowhere is not.
func (t *Tables) noteRefused(request *RequestRow, refusal *lentilmux.Refusal, now time.Time) {
	if refusal.Reason != lentilmux.ReasonNoUpstream || refusal.Outcome != lentilmux.OutcomeNotRun || request.NeverFits || request.Fingerprint == 0 || !t.hasLayers(request.Service) {
		return
	}
	delay := min(refusal.RetryAfter+returnGrace, maxReturnDelay)
	t.RefusedRequests.record(RefusedRequestRow{Request: lentilmux.HashRequest(request.Fingerprint), Until: now.Add(delay), RecordedAt: now, Scope: lentilmux.ScopeVM})
}

// ApplyRefusedRequests records the refused requests that peers tell of, and removes those
// whose callers are expected no longer. It reads Events.Digests and writes
// RefusedRequests.
type ApplyRefusedRequests struct {
	cleanedAt time.Time
}

// Run implements [System].
func (a *ApplyRefusedRequests) Run(t *Tables, now time.Time) {
	if now.Sub(a.cleanedAt) >= refusedCleanInterval && len(t.RefusedRequests.Rows) > 0 {
		a.cleanedAt = now
		t.RefusedRequests.removeExpired(now)
	}
	for _, digest := range t.Events.Digests {
		if digest.VM == t.Self.Name {
			continue
		}
		scope := lentilmux.ScopeFleet
		if digest.Scope == lentilmux.ScopeVM && digest.Zone == t.Self.Zone {
			scope = lentilmux.ScopeZone
		}
		for _, refused := range digest.Refused {
			if delay := min(refused.Remaining, maxReturnDelay); delay > 0 {
				t.RefusedRequests.record(RefusedRequestRow{Request: refused.Request, Until: now.Add(delay), RecordedAt: now, Scope: scope})
			}
		}
	}
}

// knownRefused returns the refused requests to tell peers of in a digest, the latest ones
// if there are many.
func (t *Tables) knownRefused(scope lentilmux.DigestScope, now time.Time) (refused []lentilmux.RefusedRequest) {
	for i := len(t.RefusedRequests.Rows) - 1; i >= 0 && len(refused) < maxRefusedInDigest[scope]; i-- {
		row := &t.RefusedRequests.Rows[i]
		if row.Scope <= scope && now.Sub(row.RecordedAt) < refusedGossipDuration && now.Before(row.Until) {
			refused = append(refused, lentilmux.RefusedRequest{Request: row.Request, Remaining: row.Until.Sub(now)})
		}
	}
	return refused
}
