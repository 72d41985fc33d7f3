package engine

import (
	"context"
	"time"

	"lentilmux.example/lentilmux"
)

// tokensPerReport is the number of tokens after which progress is reported.
const tokensPerReport = 16

// progressReporter counts the tokens of an attempt and reports them to the node
// as [lentilmux.ProgressMsg].
type progressReporter struct {
	node          lentilmux.NodeClient
	request       lentilmux.RequestID
	tokens        int       // not reported yet
	intervalStart time.Time // time of the last reported token, or when the stages were opened
	lastTokenAt   time.Time
}

func (r *Relay) newProgressReporter(request lentilmux.RequestID) *progressReporter {
	return &progressReporter{node: r.node, request: request, intervalStart: time.Now()}
}

// addToken counts one token. Every tokensPerReport tokens it sends a report.
func (p *progressReporter) addToken(ctx context.Context) {
	p.tokens++
	p.lastTokenAt = time.Now()
	if p.tokens >= tokensPerReport {
		p.report(ctx)
	}
}

// report sends the number of tokens since the last report and the time they
// took. It sends nothing if there are none.
func (p *progressReporter) report(ctx context.Context) {
	if p.tokens == 0 {
		return
	}
	msg := lentilmux.ProgressMsg{Request: p.request, Tokens: p.tokens, Duration: p.lastTokenAt.Sub(p.intervalStart)}
	p.tokens, p.intervalStart = 0, p.lastTokenAt
	_ = p.node.Send(ctx, msg) // a stopped node does not need the report
}
