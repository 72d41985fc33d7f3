package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// maxLoggedParts bounds the prompt parts that one log line shows.
const maxLoggedParts = 8

// handleFailedAttempt retries a request whose attempt failed, or refuses it.
func (a *AdmitRequests) handleFailedAttempt(t *Tables, failed FailedAttemptRow, now time.Time) {
	request := t.findAttempt(failed.Request, failed.Epoch)
	if request == nil && t.Requests.Find(failed.Request) != nil {
		t.Answer(failed.CorrelationID, lentilmux.WaitAnswer{Wait: t.Limits.StallReportInterval}) // another attempt has gone on meanwhile
		return
	}
	if request == nil {
		t.Answer(failed.CorrelationID, lentilmux.RefusalAnswer{Refusal: lentilmux.Refusal{Reason: lentilmux.ReasonOutcomeUnknown, Detail: "the leg is not known"}})
		return
	}
	t.endAttempt(request)
	switch {
	case request.Peer != "":
		t.recordFailedForward(request, failed, now)
	case failed.NotRun && failed.Answered:
		t.markFull(request, failed.BlamedUpstream, now)
	}
	if !failed.NotRun {
		request.countRun(now)
	}
	if failed.NotListening {
		request.recordNotListening()
	}
	if len(request.Older) > 0 {
		a.continueOlder(t, request, failed, now)
		return
	}
	if refusal := a.retryFailed(t, request, failed, now); refusal != nil && !a.holdToResume(t, request, failed, refusal, now) {
		t.noteRefused(request, refusal, now)
		a.refuse(t, request.ID, failed.CorrelationID, refusal, now)
	}
}

// retryFailed logs a failed attempt and answers with another one, or returns why there
// is none.
func (a *AdmitRequests) retryFailed(t *Tables, request *RequestRow, failed FailedAttemptRow, now time.Time) (refusal *lentilmux.Refusal) {
	reason, detail, charged := a.checkRetry(t, request, failed, now)
	t.recordFailedAttempt(request, failed, map[bool]string{true: "resend", false: "end"}[reason == ""], detail, now)
	if reason == "" {
		return a.sendRetry(t, request, failed, charged, now)
	}
	refusal = a.adjustOutcome(request, t.noRetryRefusal(request, reason, detail, now))
	if failed.PeerRefusal != nil {
		refusal.RetryAfter = failed.PeerRefusal.RetryAfter
	}
	return refusal
}

// sendRetry answers with another attempt, or returns why there is none. It takes back
// the charge for one that is not sent.
func (a *AdmitRequests) sendRetry(t *Tables, request *RequestRow, failed FailedAttemptRow, charged bool, now time.Time) (refusal *lentilmux.Refusal) {
	request.continueAfter(t, failed.Delivered)
	if refusal = a.sendAttempt(t, request, failed.CorrelationID, now); refusal != nil && charged {
		t.refundRetry(request.Service, now)
	}
	return refusal
}

// continueOlder handles the failure of an attempt beside which others are in
// flight: these go on. If the newest of them cannot, it is replaced again.
func (a *AdmitRequests) continueOlder(t *Tables, request *RequestRow, failed FailedAttemptRow, now time.Time) {
	t.recordFailedAttempt(request, failed, "continue", "another attempt is in flight", now)
	t.returnToOlder(request)
	a.replaceOrKeep(t, request, failed, now)
}

// recordFailedAttempt logs a failed attempt and what follows.
func (t *Tables) recordFailedAttempt(request *RequestRow, failed FailedAttemptRow, chosen, detail string, now time.Time) {
	if failed.Detail != "" {
		detail = fmt.Sprintf("%s=%q %s", failed.detailName(), failed.Detail, detail)
	}
	t.RecordDecision(lentilmux.Decision{
		What: "attempt_failed", Subject: string(request.ID), Chosen: chosen,
		// delivered is the number of events that the caller has, runs the number of
		// attempts that may have run the request and sends the number of all attempts.
		// started tells whether the attempt had begun to answer; parts are the first
		// shared parts of the prompt. ran_on lists the upstreams on which the request may
		// have run, and what is known of their processes since.
		Reason: fmt.Sprintf("%s not_run=%t answered=%t upstream=%s delivered=%d runs=%d sends=%d started=%t parts=%s ran_on=%s %s",
			failed.Kind, failed.NotRun, failed.Answered, request.LastUpstream+request.Peer, failed.Delivered,
			request.PossibleRuns, request.Attempts, request.AnswerStarted,
			lentilmux.FormatPromptParts(request.SharedParts, maxLoggedParts), t.formatRuns(request, now), detail),
	})
}

// detailName returns the name under which the log shows what is wrong with an answer.
func (f *FailedAttemptRow) detailName() string {
	if f.Kind == lentilmux.FailureMalformed {
		return "head"
	}
	return "cut"
}

// handleStalledAttempt decides on an attempt without progress. Another one is sent
// beside it only if it cannot continue at the moment and a retry is allowed. It
// is reported again after StallReportInterval.
func (a *AdmitRequests) handleStalledAttempt(t *Tables, stalled StalledAttemptRow, now time.Time) {
	request := t.Requests.Find(stalled.Request)
	switch {
	case request == nil, request.Epoch != stalled.Epoch && !request.hasOlder(stalled.Epoch):
		t.Answer(stalled.CorrelationID, lentilmux.WaitAnswer{})
	case request.Epoch != stalled.Epoch:
		t.Answer(stalled.CorrelationID, lentilmux.WaitAnswer{Wait: t.Limits.StallReportInterval})
	default:
		a.replaceOrKeep(t, request, FailedAttemptRow{
			ForwardFailedMsg: lentilmux.ForwardFailedMsg{Request: stalled.Request, Epoch: stalled.Epoch, Kind: lentilmux.FailureTimeout, Delivered: stalled.Delivered},
			CorrelationID:    stalled.CorrelationID,
		}, now)
	}
}

// replaceOrKeep answers with another attempt if the newest one of a request cannot
// continue, or has not begun while others have, and a retry after failed is allowed. It
// else lets the attempts in flight go on.
func (a *AdmitRequests) replaceOrKeep(t *Tables, request *RequestRow, failed FailedAttemptRow, now time.Time) {
	stuck := t.cannotContinue(request, now)
	elsewhere := !stuck && t.onlyItWaits(request, failed.Delivered, now)
	if !stuck && !elsewhere || !request.Route.Kind.Repeatable() || !a.replaceAttempt(t, request, failed, elsewhere, now) {
		t.Answer(failed.CorrelationID, lentilmux.WaitAnswer{Wait: t.Limits.StallReportInterval})
	}
}

// cannotContinue reports whether a stalled attempt has no chance to continue at
// the moment. That is the case if its first hop is dead, if it cannot be moved
// (again), if it waits for a place to move to, or if this VM reaches no upstream. An
// attempt without a path cannot be moved; its stall is always final. An attempt at a
// peer cannot continue if the peer is isolated or silent.
func (t *Tables) cannotContinue(request *RequestRow, now time.Time) bool {
	if request.Peer != "" {
		peer := t.VMs.Find(request.Peer)
		return peer == nil || peer.Isolated || !t.usesRelays() && now.Sub(peer.LastDigestAt) > maxPeerSilence
	}
	if t.Reach.State == ReachLost {
		return true
	}
	if len(request.Hops) == 0 || t.isDead(request.Hops[0].Upstream) {
		return true
	}
	switch request.Move {
	case MoveBlocked, MoveImpossible:
		return true
	case MoveInFlight:
		return false
	}
	if request.Moves < t.Limits.MaxMoves {
		return false
	}
	return slices.ContainsFunc(request.Hops, func(hop lentilmux.Hop) bool { return t.isLost(request, hop) })
}

// replaceAttempt sends another attempt beside one that is still in flight, if a
// retry is allowed and there is an alternative: one with another first hop, if
// elsewhere is set. The one in flight gives up its reservations, since one of the two
// ends soon.
func (a *AdmitRequests) replaceAttempt(t *Tables, request *RequestRow, failed FailedAttemptRow, elsewhere bool, now time.Time) (sent bool) {
	history, stalled := request.RunHistory.clone(), request.AttemptState
	request.countRun(now)
	reason, detail, charged := a.checkRetry(t, request, failed, now)
	if reason == "" {
		older := request.AttemptState
		older.Reservations = slices.Clone(older.Reservations)
		t.release(request)
		older.TrialUpstream, stalled.TrialUpstream = "", ""
		request.AttemptState = AttemptState{LastUpstream: older.LastUpstream, Elsewhere: elsewhere}
		request.continueAfter(t, failed.Delivered)
		if a.sendAttempt(t, request, failed.CorrelationID, now) == nil {
			request.Older = append(request.Older, older)
			t.RecordDecision(lentilmux.Decision{What: "attempt_replaced", Subject: string(request.ID), Chosen: request.LastUpstream + request.Peer, Reason: fmt.Sprintf("stalled at %s, delivered=%d", formatPath(older.Hops)+older.Peer, failed.Delivered)})
			return true
		}
		if charged {
			t.refundRetry(request.Service, now)
		}
		stalled.Reservations = older.Reservations
		t.addLoad(older.Reservations, 1)
		detail = "no alternative upstream or path"
	}
	request.RunHistory, request.AttemptState = history, stalled
	t.RecordDecision(lentilmux.Decision{What: "attempt_kept", Subject: string(request.ID), Chosen: request.LastUpstream + request.Peer, Reason: detail})
	return false
}

// markFull keeps new requests for FullDuration from the upstream that refused
// one for lack of capacity: the one that the answer blames, or else the first
// hop of the attempt.
func (t *Tables) markFull(request *RequestRow, blamed netip.AddrPort, now time.Time) {
	row := t.Upstreams.FindByAddr(blamed)
	if row == nil {
		row = t.Upstreams.Find(request.LastUpstream)
	}
	t.CrowdedAt = now
	if row != nil {
		row.FullUntil = now.Add(t.Limits.FullDuration)
		t.RecordDecision(lentilmux.Decision{What: "upstream_full", Subject: row.ID, Chosen: t.Limits.FullDuration.String(), Reason: "refused request " + string(request.ID)})
	}
}

// checkRetry decides whether a request may have another attempt. An empty reason
// means that it may; otherwise reason and detail go into the refusal. charged tells
// whether the retry budget was charged, which is taken back if nothing is sent.
func (a *AdmitRequests) checkRetry(t *Tables, request *RequestRow, failed FailedAttemptRow, now time.Time) (reason lentilmux.Reason, detail string, charged bool) {
	if request.Peer != "" {
		if reason, detail, decided := a.checkForwardRetry(request, failed); decided {
			return reason, detail, false
		}
	}
	switch {
	case request.MayHaveRun && !request.Route.Kind.Repeatable():
		return lentilmux.ReasonOutcomeUnknown, "it may have run and may not run again", false
	case !failed.NotRun && request.PossibleRuns >= a.maxRuns(request, failed):
		return lentilmux.ReasonUpstreamFailed, "all attempts are used up", false
	case request.Attempts-request.PeerRefusals >= t.Limits.MaxAttempts:
		return lentilmux.ReasonUpstreamFailed, "sent too often", false
	case t.heldPart(request.Parts, now) != nil:
		return lentilmux.ReasonQuarantined, "it crashes upstreams, or has a prompt part that does", false
	case failed.Kind == lentilmux.FailureDial && failed.NotRun && !failed.Answered:
		return "", "", false // nothing reached the upstream
	case !a.leavesRetries(t, request, now):
		return lentilmux.ReasonRetryBudget, "the rest of the retry budget is kept for more urgent requests", false
	case !t.spendRetry(request.Service, now):
		return lentilmux.ReasonRetryBudget, "the retry budget is spent", false
	default:
		return "", "", true
	}
}

// maxRuns returns how many attempts may run a request. A resumable stream gets one more
// after its connection broke. That one goes to another upstream only if the request may
// have run on fewer upstreams that live on than its route allows, see [Tables.isUsedUp].
func (a *AdmitRequests) maxRuns(request *RequestRow, failed FailedAttemptRow) int {
	if failed.Kind == lentilmux.FailureCrash && !failed.Answered && request.Route.Kind == lentilmux.CallResumableStream {
		return request.Route.MaxAttempts + 1
	}
	return request.Route.MaxAttempts
}

// continueAfter makes a stream continue after the events that the caller has:
// their tokens become part of the prompt and need not be generated again.
func (r *RequestRow) continueAfter(t *Tables, delivered int) {
	if service := t.Rules.Service(r.Service); service != nil && service.Engine != nil {
		tokens := (delivered - r.Delivered) * max(service.Engine.TokensPerEvent, 1)
		r.PromptTokens += tokens
		r.MaxTokens = max(r.MaxTokens-tokens, 1)
		r.ExpectedTokens = max(r.ExpectedTokens-tokens, 0)
	}
	r.Delivered = delivered
}
