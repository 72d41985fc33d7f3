package system

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// drainingRetryAfter is the Retry-After of a draining entry VM. It is short
// because the caller can go to another entry VM.
const drainingRetryAfter = 100 * time.Millisecond

// AcceptRequests admits new requests or refuses those that cannot be served,
// before any work is done for them. It reads Workspaces, Pipelines, Services,
// CrashSuspects and Streams and writes Requests, Calls, PendingAppends, the
// queue, the counts of Workspaces and the retry budget.
type AcceptRequests struct{}

// Run implements [System].
func (s *AcceptRequests) Run(t *table.Tables, now time.Time) {
	for _, arrival := range t.Events.Arrivals {
		s.accept(t, now, arrival)
	}
}

func (s *AcceptRequests) accept(t *table.Tables, now time.Time, arrival table.RequestEvent) {
	request := arrival.Request
	target, refusal := s.admit(t, now, request)
	if refusal == nil && request.Key != "" {
		refusal = s.checkKeyAge(t, now, request)
	}
	if refusal != nil {
		adjusted := adjustForResend(request, *refusal)
		t.Answer(arrival.CorrelationID, lentilmux.RefusalAnswer{Refusal: adjusted})
		recordRefusal(t, now, request, adjusted)
		return
	}
	t.Self.RetryTokens = min(t.Self.RetryTokens+t.Limits.RetryRatio, t.Limits.MaxRetryTokens)
	row := table.Request{
		Request: request, CorrelationID: arrival.CorrelationID, Target: target, ArrivedAt: now, State: table.RequestQueued,
	}
	r := t.Requests.Put(row)
	adjustWorkspaceCount(t, r, 1)
	wait := expectedWait(t, t.Workspaces.Find(request.Workspace), target)
	if !canFinishInTime(t, now, r, wait) {
		refuse(t, now, r, notRunRefusal(lentilmux.ReasonOverloaded, max(wait, time.Second), "would wait %s and then not finish in time", wait.Round(time.Millisecond)))
		return
	}
	advanceRequest(t, now, r)
}

// admit returns the pipeline or service that serves the request, or the refusal
// if there is none.
func (s *AcceptRequests) admit(t *table.Tables, now time.Time, request lentilmux.Request) (target string, refusal *lentilmux.Refusal) {
	refuse := func(reason lentilmux.Reason, after time.Duration, format string, args ...any) (string, *lentilmux.Refusal) {
		r := notRunRefusal(reason, after, format, args...)
		return "", &r
	}
	if !t.Self.Synced {
		return refuse(lentilmux.ReasonNotReady, time.Second, "this entry VM is starting: %s", t.Self.NotReadyReason)
	}
	if t.Self.Draining() && now.Sub(t.Self.DrainingAt) >= t.Limits.DrainGrace {
		return refuse(lentilmux.ReasonDraining, drainingRetryAfter, "this entry VM is stopping; send the request again")
	}
	w := t.Workspaces.Find(request.Workspace)
	if w == nil {
		return refuse(lentilmux.ReasonUnknownWorkspace, 0, "workspace %q does not exist", request.Workspace)
	}
	if w.Spec.KeyHash != "" && w.Spec.KeyHash != request.CredentialHash {
		return refuse(lentilmux.ReasonNotAllowed, 0, "the credential is not that of workspace %q", request.Workspace)
	}
	target, known := findTarget(t, request)
	switch {
	case !known && request.Service != "":
		return refuse(lentilmux.ReasonUnknownService, 0, "service %q does not exist", request.Service)
	case !known:
		return refuse(lentilmux.ReasonUnknownModel, 0, "model %q does not exist", request.Model)
	case !slices.Contains(w.Spec.Uses, target):
		return refuse(lentilmux.ReasonNotAllowed, 0, "workspace %q does not use %q", request.Workspace, target)
	case request.Key == "" && !idempotent(t, request):
		return refuse(lentilmux.ReasonKeyRequired, 0, "%s on %q may not run twice: send an Idempotency-Key", request.Method, target)
	case w.Queued >= t.Limits.MaxQueued:
		return refuse(lentilmux.ReasonQueueFull, time.Second, "workspace %q has %d requests waiting here", request.Workspace, w.Queued)
	case !now.Before(request.Deadline):
		return refuse(lentilmux.ReasonDeadline, 0, "the deadline had passed on arrival")
	}
	return target, nil
}

// findTarget returns the name of the requested pipeline or service and whether
// it exists.
func findTarget(t *table.Tables, request lentilmux.Request) (target string, known bool) {
	if request.Service != "" {
		return request.Service, t.Services.Find(request.Service) != nil
	}
	for i := range t.Pipelines.Rows {
		if spec := &t.Pipelines.Rows[i].Spec; spec.Model == request.Model {
			return spec.Name, true
		}
	}
	return "", false
}

// idempotent reports whether the request may run more than once. Model requests
// may, and so may those methods of a service that its settings declare
// idempotent.
func idempotent(t *table.Tables, request lentilmux.Request) bool {
	if request.Service == "" {
		return true
	}
	service := t.Services.Find(request.Service)
	return service != nil && slices.Contains(service.Spec.Idempotent, request.Method)
}

// repeatable reports whether r may be sent again although an earlier attempt
// may have run.
func repeatable(t *table.Tables, r *table.Request) bool {
	return idempotent(t, r.Request)
}

// checkKeyAge refuses an idempotency key that was created in the future, has
// expired, or is older than the time from which this node knows all entries of
// the calls stream: an earlier call with such a key might be missing from
// Calls. Keys whose calls are known are accepted, and so are those of which the
// caller says that no earlier request may have run.
func (s *AcceptRequests) checkKeyAge(t *table.Tables, now time.Time, request lentilmux.Request) *lentilmux.Refusal {
	skew := t.Limits.ClockSkew
	key := callKey(request)
	call := t.Calls.Find(key)
	var refusal lentilmux.Refusal
	switch {
	case request.KeyCreatedAt.After(now.Add(skew)):
		refusal = notRunRefusal(lentilmux.ReasonKeyInvalid, 0, "the key's time is more than %s ahead", skew)
	case now.Sub(request.KeyCreatedAt) > t.Limits.KeyWindow:
		refusal = notRunRefusal(lentilmux.ReasonKeyExpired, 0, "the key is older than %s and is no longer remembered", t.Limits.KeyWindow)
	case mayHaveLostCall(t, request, key) && (call == nil || !holdsKey(call)):
		refusal = lostCallRefusal()
	default:
		return nil
	}
	return &refusal
}

// advanceRequest moves a request to its next step: claiming its idempotency
// key, claiming the trial of its suspected fingerprint, or waiting for
// capacity.
func advanceRequest(t *table.Tables, now time.Time, r *table.Request) {
	if r.Request.Key != "" && !slices.Contains(r.HeldKeys, callKey(r.Request)) {
		claimKey(t, now, r, callKey(r.Request))
		return
	}
	suspect := t.CrashSuspects.Find(fingerprintText(r.Request.Fingerprint))
	part := quarantinedPart(t, r)
	switch {
	case part != nil:
		refuse(t, now, r, notRunRefusal(lentilmux.ReasonQuarantined, t.Limits.QuarantineDuration, "requests with prompt part %s crashed %d upstreams", part.Fingerprint, len(part.Upstreams)))
	case suspect == nil || isTrial(r):
		enqueue(t, now, r)
	case isQuarantined(t, suspect):
		refuse(t, now, r, notRunRefusal(lentilmux.ReasonQuarantined, t.Limits.QuarantineDuration, "requests like this one crashed %d upstreams", len(suspect.Upstreams)))
	case !t.Streams.Calls.Healthy():
		enqueue(t, now, r) // the log cannot grant the trial; only this node's crash count limits the request
	default:
		claimKey(t, now, r, trialKey(r.Request))
	}
}
