package forward

import (
	"context"
	"time"

	"lentilmux.example/lentilmux"
)

// contenderResult is the result of a contender: an attempt that has begun to answer
// and has claimed the race, or the node's answer to the failure of the last
// attempt in flight, or the error with which the node did not answer.
type contenderResult struct {
	attempt *runningAttempt // nil if there is an answer or an error
	answer  lentilmux.Answer
	err     error
}

// reportStall reports a stalled attempt to the node. If the node gives another
// attempt, both race from then on. It returns the time until the stall is to be
// reported again, or zero if it is not.
func (r *relayedRequest) reportStall(ctx context.Context, stalled *runningAttempt) (wait time.Duration) {
	if r.race.beganWithoutNumbers() {
		return 0
	}
	delivered := r.race.deliveredEvents()
	answer, err := r.relay.node.Ask(ctx, lentilmux.ForwardStalledMsg{Request: stalled.Request, Epoch: stalled.Epoch, Delivered: delivered})
	if err != nil {
		return 0 // the request has ended
	}
	switch x := answer.(type) {
	case lentilmux.WaitAnswer:
		return x.Wait
	case lentilmux.AttemptAnswer:
		contender := r.startAttempt(ctx, x.Attempt)
		added, goesOn := r.race.addContender(contender, stalled, delivered)
		if !added {
			contender.close()
			if goesOn {
				r.reportProgress(ctx, stalled)
			}
			return 0
		}
		r.contenders.Go(func() { r.contend(ctx, contender) })
		return x.Attempt.FirstEventTimeout + stalled.EventGapTimeout // after the contender's own report
	}
	return 0
}

// contend runs an attempt beside others until its answer begins, it is canceled, or
// it fails and the node gives no other one. A contender that has failed stays in the
// race until the node has answered, so that an attempt that goes on meanwhile is
// reported as the only one.
func (r *relayedRequest) contend(ctx context.Context, contender *runningAttempt) {
	for {
		err := r.begin(contender)
		if err == nil {
			if claimed, contended := r.race.claim(contender); claimed {
				if contended && !contender.Kind.Streams() {
					r.reportProgress(ctx, contender)
				}
				r.sendResult(ctx, contenderResult{attempt: contender})
				return
			}
		}
		canceled := contender.ctx.Err() != nil
		contender.close()
		if !r.race.contains(contender) || canceled {
			return // canceled, or the request ends
		}
		failure := r.describeFailure(contender, err)
		answer, err := r.ask(ctx, *failure)
		if err != nil {
			if r.race.remove(contender) {
				r.sendResult(ctx, contenderResult{err: err})
			}
			return
		}
		switch x := answer.(type) {
		case lentilmux.AttemptAnswer:
			next := r.startAttempt(ctx, x.Attempt)
			if !r.race.replace(contender, next) {
				next.close()
				return // canceled
			}
			contender = next
		case lentilmux.RefusalAnswer:
			if r.race.remove(contender) {
				r.sendResult(ctx, contenderResult{answer: answer})
			}
			return
		default:
			r.race.remove(contender)
			return // another attempt is in flight
		}
	}
}

// sendResult hands a result to the goroutine of the request, unless the request
// ends.
func (r *relayedRequest) sendResult(ctx context.Context, result contenderResult) {
	select {
	case r.results <- result:
	case <-ctx.Done():
		if result.attempt != nil {
			result.attempt.close()
		}
	}
}

// dropResults closes an attempt that has begun but is not passed on, since the
// request has ended.
func (r *relayedRequest) dropResults() {
	select {
	case result := <-r.results:
		if result.attempt != nil {
			result.attempt.close()
		}
	default:
	}
}

// reportProgress reports that an attempt's answer begins or goes on, and that it
// is the only one in flight.
func (r *relayedRequest) reportProgress(ctx context.Context, a *runningAttempt) {
	// Send fails only if the request is ending, which is reported in any case.
	_ = r.relay.node.Send(ctx, lentilmux.ForwardStartedMsg{Request: a.Request, Epoch: a.Epoch})
}
