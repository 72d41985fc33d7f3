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
