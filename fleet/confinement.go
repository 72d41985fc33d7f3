package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// A request may run on as many upstreams as its route allows, whichever VMs send it. Those
// that have ended do not count, but a broken connection does not show that: most upstreams
// live on. When a request is used up it is confined to the upstreams on which it may have
// run, until one of them is known to have ended.

// isUsedUp reports whether a request may have run on as many upstreams as its route
// allows, without those that have ended. An upstream counts as long as that is not
// known. The request may then go only to one of these upstreams again.
func (t *Tables) isUsedUp(request *RequestRow, now time.Time) (usedUp bool) {
	return t.upstreamsLeft(request, now) <= 0
}

// upstreamsLeft returns on how many further upstreams a request may run. What a peer may
// have run counts in full, since this VM does not learn on which upstreams.
func (t *Tables) upstreamsLeft(request *RequestRow, now time.Time) (left int) {
	left = request.Route.MaxAttempts - request.Forwarded.PossibleRuns
	if request.Forwarded.MaxUpstreams > 0 {
		left = request.Forwarded.MaxUpstreams
	}
	for i := range request.Runs {
		if t.runState(&request.Runs[i], now) != upstreamEnded {
			left--
		}
	}
	return left - request.PeerRuns
}

// upstreamsForPeer returns on how many upstreams a peer may run a request that is
// forwarded to it. A stream leaves one for the case that the peer is lost, if it can.
func (t *Tables) upstreamsForPeer(request *RequestRow, now time.Time) (count int) {
	left := t.upstreamsLeft(request, now)
	if request.Route.Kind == lentilmux.CallResumableStream && left > 1 {
		return left - 1
	}
	return left
}

// confineFirstHops keeps all upstreams but those on which a confined request may have
// run from being the first hop of its path, which is the upstream that runs it.
func (a *AdmitRequests) confineFirstHops(request *RequestRow) {
	if !request.Confined {
		return
	}
	for i, row := range a.rows {
		if !request.mayHaveRunOn(row) {
			a.nodes[i].Full = true
		}
	}
}

// awaitsUpstreamState reports whether a confined request may get another upstream soon, since
// it is not known yet whether one on which it may have run has ended, and probes these.
func (t *Tables) awaitsUpstreamState(request *RequestRow, now time.Time) (awaits bool) {
	if !request.Confined {
		return false
	}
	for i := range request.Runs {
		run := &request.Runs[i]
		if t.runState(run, now) != upstreamUnknown || now.Sub(run.At) > maxCrashDoubt {
			continue
		}
		if row := t.Upstreams.Find(run.Upstream); row != nil {
			t.probe(row, now)
			awaits = true
		}
	}
	return awaits
}
