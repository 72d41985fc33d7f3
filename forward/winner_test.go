package forward

import (
	"context"
	"testing"
	"testing/synctest"
)

// TestWinnerOfEndedRequest guards against a request that never ends: its caller
// leaves just as another attempt takes over, which drops its result then.
func TestWinnerOfEndedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &relayedRequest{results: make(chan contenderResult, 1)}
		cancel()
		if winner, ok := r.awaitWinner(ctx); ok {
			t.Errorf("got attempt %d of a request that has ended", winner.Epoch)
		}
	})
}
