package forward

import (
	"context"

	"lentilmux.example/lentilmux"
)

// reportDrain reports that an answer announces the drain of its upstream, before
// anything of the answer is passed on.
func (r *relayedRequest) reportDrain(ctx context.Context, attempt lentilmux.Attempt, response lentilmux.UpstreamResponse) {
	if !response.AnnouncesDrain() {
		return
	}
	// Send fails only if the request is ending; a later answer announces the drain too.
	_ = r.relay.node.Send(ctx, lentilmux.UpstreamDrainMsg{Request: attempt.Request, Upstream: attempt.Upstream, StartedAt: attempt.StartedAt})
}

// reportBackOff reports the time for which an upstream that turned the request away
// wants no others.
func (r *relayedRequest) reportBackOff(ctx context.Context, attempt lentilmux.Attempt, response lentilmux.UpstreamResponse) {
	retryAfter := response.RetryAfter()
	if !retryAfter.Named {
		return
	}
	// Send fails only if the request is ending; a later answer names a time too.
	_ = r.relay.node.Send(ctx, lentilmux.UpstreamBackOffMsg{Request: attempt.Request, Upstream: attempt.Upstream, StartedAt: attempt.StartedAt, RetryAfter: retryAfter})
}
