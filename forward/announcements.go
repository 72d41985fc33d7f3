package forward

import "lentilmux.example/lentilmux"

// reportAnnouncements reports what an answer says of its upstream, before anything
// of the answer is passed on.
func (r *relayedRequest) reportAnnouncements(a *runningAttempt) {
	if limit := a.response.RequestLimit(); a.response.Verdict() != lentilmux.VerdictInvalid && (limit.Named || a.Limited) {
		r.announce(a, lentilmux.UpstreamLimitMsg{Request: a.Request, Upstream: a.Upstream, Limit: limit})
	}
	if a.response.AnnouncesDrain() {
		r.announce(a, lentilmux.UpstreamDrainMsg{Request: a.Request, Upstream: a.Upstream, StartedAt: a.StartedAt})
	}
	if retryAfter := a.response.RetryAfter(); retryAfter.Named {
		r.announce(a, lentilmux.UpstreamBackOffMsg{Request: a.Request, Upstream: a.Upstream, StartedAt: a.StartedAt, RetryAfter: retryAfter})
	}
}

// announce sends one message to the node.
func (r *relayedRequest) announce(a *runningAttempt, msg lentilmux.Msg) {
	// Send fails only if the request is ending; a later answer says the same.
	_ = r.relay.node.Send(a.ctx, msg)
}
