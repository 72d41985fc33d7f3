package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// probeBurst is the maximum number of probes in one burst.
const probeBurst = 8

// DetectFailures decides which upstream caused a failed or stalled attempt. A
// clear sign, such as a failed connection, makes the upstream suspected, so that
// it gets no new requests. An unclear sign only triggers a probe, whose result
// decides. It reads Events.FailedAttempts, Events.StalledAttempts, Requests and
// VMs and writes Upstreams and ProbeBucket.
type DetectFailures struct{}

// Run implements [System].
func (d *DetectFailures) Run(t *Tables, now time.Time) {
	if !t.trustsLinks() {
		return
	}
	for _, msg := range t.Events.FailedAttempts {
		if request := t.findAttempt(msg.Request, msg.Epoch); request != nil && len(request.Reservations) > 0 {
			d.handleFailure(t, request, msg.ForwardFailedMsg, now)
		}
	}
	for _, msg := range t.Events.StalledAttempts {
		if request := t.Requests.Find(msg.Request); request != nil && request.Epoch == msg.Epoch {
			d.probeStalledHops(t, request, now)
		}
	}
	for _, row := range t.Upstreams.Rows {
		d.reprobeSuspect(t, row, now)
	}
}

// handleFailure suspects, probes or ejects the upstreams that may have caused the
// failure of an attempt.
func (d *DetectFailures) handleFailure(t *Tables, request *RequestRow, msg lentilmux.ForwardFailedMsg, now time.Time) {
	firstHop := t.Upstreams.Find(request.Reservations[0].Upstream)
	switch {
	case firstHop == nil:
	case msg.BlamedUpstream.IsValid():
		if row := t.Upstreams.FindByAddr(msg.BlamedUpstream); row != nil {
			t.markSuspected(row, now, "blamed by "+firstHop.ID)
			t.probe(row, now)
		}
	case msg.Answered:
		// The upstream answered, so it is healthy; the failure concerns the
		// request alone.
	case msg.Kind == lentilmux.FailureDial:
		t.markSuspected(firstHop, now, "connection failed")
		t.probe(firstHop, now)
	default:
		switch {
		case msg.Kind == lentilmux.FailureTooLarge:
			t.recordTooLargeAnswer(firstHop, now)
		case request.AnswerStarted:
			// An upstream that began to answer is not ejected for the rest of it.
		case msg.Kind == lentilmux.FailureCrash, msg.Kind == lentilmux.FailureMalformed:
			t.recordBrokenAttempt(firstHop, now)
		}
		d.probeStalledHops(t, request, now)
	}
}

// probeStalledHops probes the upstreams of a path that made no progress within
// ProgressTimeout.
func (d *DetectFailures) probeStalledHops(t *Tables, request *RequestRow, now time.Time) {
	for _, reservation := range request.Reservations {
		row := t.Upstreams.Find(reservation.Upstream)
		if row != nil && now.Sub(row.Progress.Last()) >= t.Limits.ProgressTimeout {
			t.probe(row, now)
		}
	}
}

// reprobeSuspect probes a suspected upstream when its suspicion ends, and
// extends the suspicion until a report arrives.
func (d *DetectFailures) reprobeSuspect(t *Tables, row *UpstreamRow, now time.Time) {
	if row.SuspectUntil.IsZero() {
		return
	}
	if now.Before(row.SuspectUntil) {
		t.WakeAt(row.SuspectUntil)
		return
	}
	if model, _ := t.ModelAndAccelerator(row); model == nil {
		row.SuspectUntil = time.Time{} // services without layers send no reports, so the next request is the probe
		return
	}
	row.SuspectUntil = now.Add(row.SuspectDuration)
	row.ProbedAt = time.Time{}
	t.probe(row, now)
	t.WakeAt(row.SuspectUntil)
}

// probe fetches a report from an upstream that holds layers, unless it was
// probed within MinProbeInterval or this VM's share of MaxProbesPerSecond is
// used up.
func (t *Tables) probe(row *UpstreamRow, now time.Time) {
	if t.Reach.State == ReachLost || now.Sub(row.ProbedAt) < t.Limits.MinProbeInterval {
		return
	}
	if model, _ := t.ModelAndAccelerator(row); model == nil || !t.ProbeBucket.take(now, t.Limits.MaxProbesPerSecond/float64(t.LiveVMs(now)), probeBurst, 1) {
		return
	}
	row.ProbedAt = now
	t.AddEffect(lentilmux.FetchReportEffect{Upstream: row.ID, Addr: row.Addr})
}

// markSuspected keeps new requests from an upstream until it reports. The time
// until the next probe doubles with each call, from BaseSuspectDuration to
// MaxSuspectDuration.
func (t *Tables) markSuspected(row *UpstreamRow, now time.Time, reason string) {
	newlySuspected := row.SuspectUntil.IsZero()
	if newlySuspected {
		row.SuspectDuration = 0
	}
	row.SuspectDuration = min(max(2*row.SuspectDuration, t.Limits.BaseSuspectDuration), t.Limits.MaxSuspectDuration)
	row.SuspectUntil = now.Add(row.SuspectDuration)
	t.WakeAt(row.SuspectUntil)
	if newlySuspected {
		t.RecordDecision(lentilmux.Decision{What: "upstream_suspected", Subject: row.ID, Chosen: row.SuspectDuration.String(), Reason: reason})
	}
}
