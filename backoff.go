package lentilmux

import "time"

// RetryAfter is what an upstream's answer says of the time for which it wants no
// requests from this VM.
type RetryAfter struct {
	Named   bool          // whether the answer names a time
	Invalid bool          // whether it names one that cannot be read
	Delay   time.Duration // since the answer; not negative
}

// UpstreamBackOffMsg reports an answer with which an upstream turned a request away
// and named a time. It has no answer.
type UpstreamBackOffMsg struct {
	Request    RequestID
	Upstream   string
	StartedAt  time.Time // start of the process that the request was sent to, as known then
	RetryAfter RetryAfter
}
