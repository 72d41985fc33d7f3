package lentilmux

import "time"

// ExplainMsg asks where a request would go now. Nothing is sent and no state changes.
// The answer is an [ExplainAnswer].
type ExplainMsg struct {
	Inbound   InboundRequest // without a key
	Workspace string         // of the caller; empty for an anonymous request
}

// ExplainAnswer explains the decision on a request.
type ExplainAnswer struct {
	VM             string // that decides
	Rules          Revision
	RulesAge       time.Duration // since the configuration was last read
	LoadsAge       time.Duration // since the last digest of another VM arrived; negative if there was none
	Route          string        // empty if there is none
	Service        string
	Priority       int  // only if Ranked
	Ranked         bool // whether requests to the service are ranked by priority
	AnswerTokens   int  // expected completion tokens; 0 for a service without layers
	Learned        bool // whether they follow from answers
	Refusal        *Refusal
	ToPeer         bool // whether the request would be forwarded to another VM, which decides
	Upstream       string
	Path           []Hop // empty if the upstream runs the request alone
	FirstEvent     time.Duration
	EventGap       time.Duration
	MaxMemoryUse   float64 // share of KV cache in use on the fullest upstream of the path
	UnseenRequests float64 // of other VMs at each upstream, that the loads do not show
	Candidates     []ExplainedUpstream
}

// ExplainedUpstream is what the decision knows of an upstream of the service.
type ExplainedUpstream struct {
	Upstream   string
	Zone       string
	Layers     LayerRange // that requests may use; empty for none
	HasLayers  bool
	Streams    int     // of all VMs, as far as known
	Reserved   int64   // KV cache reserved, in tokens times layers, with the spread of the streams' lengths
	Capacity   int64   // in tokens times layers; 0 if it is no candidate
	StepFactor float64 // of its accelerator, times what is known of its speed; 0 if it is no candidate
	Excluded   string  // why it is no candidate; empty if it is one
	NotFirst   bool    // whether it cannot be the first hop
}
