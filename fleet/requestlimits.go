package fleet

import (
	"fmt"
	"math"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// limitLogInterval bounds the log lines on the limit of one upstream, which may
	// name another one in each answer.
	limitLogInterval = time.Second
	// limitLogFactor is the factor by which a limit has to change to be logged.
	limitLogFactor = 1.1
)

// ApplyRequestLimits records the limits that upstreams name in their answers. It
// reads Events.UpstreamLimits and writes Upstreams.
type ApplyRequestLimits struct{}

// Run implements [System].
func (a *ApplyRequestLimits) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.UpstreamLimits {
		row := t.Upstreams.Find(msg.Upstream)
		switch {
		case row == nil:
		case msg.Limit.Invalid:
			t.RecordDecision(lentilmux.Decision{What: "limit_ignored", Subject: row.ID, Reason: "request " + string(msg.Request) + ": not a number, or negative"})
		default:
			t.setLimit(row, msg.Limit.Named, msg.Limit.PerSecond, now, "answer to "+string(msg.Request), now)
		}
	}
}

// setLimit records whether an upstream named a limit in an answer that arrived at
// seenAt, unless a newer one is known.
func (t *Tables) setLimit(row *UpstreamRow, limited bool, perSecond float64, seenAt time.Time, source string, now time.Time) {
	if seenAt.Before(row.LimitSeenAt) {
		return
	}
	lifted := row.Limited && !limited
	row.Limited, row.Limit, row.LimitSeenAt = limited, perSecond, seenAt
	if lifted {
		row.LimitLogged = 0
		t.RecordDecision(lentilmux.Decision{What: "upstream_unlimited", Subject: row.ID, Reason: source})
		return
	}
	small := math.Min(row.LimitLogged, perSecond)*limitLogFactor >= math.Max(row.LimitLogged, perSecond)
	if !limited || small || now.Before(row.LimitLogNext) {
		return
	}
	row.LimitLogged, row.LimitLogNext = perSecond, now.Add(limitLogInterval)
	t.RecordDecision(lentilmux.Decision{What: "upstream_limited", Subject: row.ID, Chosen: fmt.Sprintf("%.2f/s", perSecond), Reason: source})
}
