package lentilmux

import "time"

// RequestLimit is what an upstream's answer says of the requests that it takes
// from all entry VMs together.
type RequestLimit struct {
	Named     bool    // whether the answer names a limit
	Invalid   bool    // whether the answer names one that cannot be read
	PerSecond float64 // not negative
}

// UpstreamLimitMsg reports the limit that an answer of an upstream names, or that
// it names none any more. It has no answer.
type UpstreamLimitMsg struct {
	Request  RequestID
	Upstream string
	Limit    RequestLimit
}

// UpstreamLimit is what VMs tell each other of an upstream's limit. The newest
// answer counts, whichever VM received it.
type UpstreamLimit struct {
	Upstream  UpstreamHash
	Named     bool
	PerSecond float64
	Age       time.Duration // since the answer
}
