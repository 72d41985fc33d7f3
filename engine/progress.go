package engine

import (
	"context"
	"time"

	"lentilmux.example/lentilmux"
)

// progressEvery is how many tokens one report covers.
const progressEvery = 16

// progress counts the tokens of an attempt and reports them now and then.
type progress struct {
	node    lentilmux.NodeClient
	request lentilmux.RequestID
	tokens  int
	since   time.Time // of the last report
	last    time.Time // of the last token
}

func (r *Relay) newProgress(request lentilmux.RequestID) *progress {
	return &progress{node: r.node, request: request, since: time.Now()}
}

// token counts one token.
func (p *progress) token(ctx context.Context) {
	p.tokens++
	p.last = time.Now()
	if p.tokens >= progressEvery {
		p.report(ctx)
	}
}

// report tells the node of the tokens since the last report.
func (p *progress) report(ctx context.Context) {
	if p.tokens == 0 {
		return
	}
	msg := lentilmux.ProgressMsg{Request: p.request, Tokens: p.tokens, Duration: p.last.Sub(p.since)}
	p.tokens, p.since = 0, p.last
	_ = p.node.Send(ctx, msg) // a stopped node needs no report
}
