package lentilmux

import "time"

// UpstreamDrainMsg reports that an answer of an upstream announces its drain. It
// has no answer.
type UpstreamDrainMsg struct {
	Request   RequestID
	Upstream  string
	StartedAt time.Time // start of the process that the request was sent to, as known then
}

// UpstreamDrain is what VMs tell each other of an upstream that announced its
// drain.
type UpstreamDrain struct {
	Upstream  UpstreamHash
	StartedAt time.Time     // start of the process that drains
	Age       time.Duration // since its last known announcement
}

// ReadinessEffect sets the answer to the load balancer's readiness probes.
type ReadinessEffect struct {
	Ready  bool
	Reason string // why this VM is not ready
}

// BeginDrainMsg begins a drain, the planned stop of this VM, in package fleet. It
// has no answer. Package system uses [DrainMsg].
type BeginDrainMsg struct{}
