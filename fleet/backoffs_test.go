package fleet_test

import (
	"time"

	"lentilmux.example/lentilmux"
)

// upstreamBackOff returns the message for an answer that turns a request away and
// names a time, or one that cannot be read.
func upstreamBackOff(name string, fields map[string]string) lentilmux.Msg {
	return lentilmux.UpstreamBackOffMsg{
		Request: "turned_away", Upstream: name, StartedAt: time.Unix(int64(parseInt(fields["started_at"])), 0),
		RetryAfter: lentilmux.RetryAfter{Named: true, Invalid: fields["retry_after"] == "invalid", Delay: parseDuration(fields["retry_after"])},
	}
}
