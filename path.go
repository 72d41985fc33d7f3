package lentilmux

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// ModelProfile describes a model whose layers are spread over the upstreams of a
// service: its size, how long its layers run, and the accelerators and zone links
// that it runs on.
type ModelProfile struct {
	Layers                 int
	LayerBytes             int64         // weights of one layer
	CacheBytesPerToken     int64         // KV cache of one token, all layers together
	StepTime               time.Duration // one decode step through all layers, at a step factor of 1
	StepTimePerStream      time.Duration // added to a step for each stream that decodes
	StepTimePerContext     time.Duration // added to a step for each 1,000 tokens of the streams' contexts
	PrefillTokensPerSecond float64       // prompt tokens through all layers, at a prefill factor of 1
	ActivationBytes        int64         // size of one token's activation, which is sent from hop to hop
	ZoneLinkBitRate        float64       // bits per second between two availability zones
	TokensPerEvent         int           // decode steps in one pass over the path; their tokens form one event
	TypicalPromptTokens    int
	TypicalAnswerTokens    int
	LoadTime               time.Duration // to load all layers
	Accelerators           []Accelerator
	ZoneDelays             []ZoneDelay
}

// Accelerator is a type of accelerator.
type Accelerator struct {
	Name          string
	MemoryBytes   int64
	StepFactor    float64 // multiplies the time of decode steps
	PrefillFactor float64 // multiplies the time of prefill
}

// Accelerator returns the accelerator with the name, or false if the profile
// does not list it.
func (m *ModelProfile) Accelerator(name string) (accelerator Accelerator, ok bool) {
	for _, a := range m.Accelerators {
		if a.Name == name {
			return a, true
		}
	}
	return Accelerator{}, false
}

// MaxLayers returns the maximum number of the model's layers that fit into the
// accelerator's memory.
func (m *ModelProfile) MaxLayers(accelerator Accelerator) int {
	if m.LayerBytes <= 0 {
		return 0
	}
	return min(int(accelerator.MemoryBytes/m.LayerBytes), m.Layers)
}

// CacheCapacity returns the capacity of the KV cache, in tokens times layers,
// that is left in the accelerator's memory next to the weights of its layers. More
// layers than the model has leave none.
func (m *ModelProfile) CacheCapacity(accelerator Accelerator, layers int) int64 {
	if m.CacheBytesPerToken <= 0 || m.Layers <= 0 || layers > m.Layers {
		return 0
	}
	return max(0, (accelerator.MemoryBytes-int64(layers)*m.LayerBytes)*int64(m.Layers)/m.CacheBytesPerToken)
}

// ZoneDelay is the one-way network delay between two availability zones.
type ZoneDelay struct {
	From, To string
	Delay    time.Duration
}

// Hop is one part of a path: an upstream and the layers that it runs.
type Hop struct {
	Upstream string
	Addr     netip.AddrPort
	Layers   LayerRange
}

// PathNode is an upstream with its load, as input to a [PathSelector].
type PathNode struct {
	Zone                int // index of its availability zone
	Layers              LayerRange
	StepFactor          float64       // of its accelerator, times its slowdown
	PrefillFactor       float64       // of its accelerator, times its slowdown
	Streams             int           // requests of all entry VMs in flight on it
	PendingPromptTokens int           // prompt tokens of all entry VMs that wait for prefill
	Reserved            int64         // KV cache reserved for requests of all entry VMs, in tokens times layers
	Capacity            int64         // KV cache, in tokens times layers
	WorkLeft            time.Duration // sum of the times that its streams still run, if WorkKnown
	PauseShare          float64       // part of its streams that it is expected to pause
	WorkKnown           bool          // whether WorkLeft covers all streams
	Full                bool          // whether it accepts no more requests as the first hop of a path
}

// PathRequest holds the requirements of a request on its path.
type PathRequest struct {
	Model          *ModelProfile
	Layers         LayerRange // layers that the path has to cover
	SingleZone     bool       // whether all hops have to be in one availability zone, also the preceding upstream if there is one
	HasPredecessor bool       // whether the path continues from another upstream
	SourceZone     int        // zone of the entry VM, or of the preceding upstream
	PromptTokens   int        // prompt tokens to prefill
	AnswerTokens   int        // expected completion tokens
	// UnseenRequests is the number of requests of other entry VMs that each node is
	// expected to have got since its load was known. A node with room for few requests
	// is full by then, although it seems the emptiest.
	UnseenRequests float64
}

// PathHop is one hop of a chosen path. Node is an index into the nodes that were
// given to the [PathSelector].
type PathHop struct {
	Node   int
	Layers LayerRange
}

// PathEstimate is the expected performance and memory use of a path.
type PathEstimate struct {
	TimeToFirstEvent time.Duration
	EventGap         time.Duration // between two events of the response stream
	MaxMemoryUse     float64       // share of KV cache in use on the fullest upstream, including the request
}

// PathSelector picks the upstreams that run a request's layers in order. It is
// not safe for concurrent use.
type PathSelector interface {
	// Choose appends the hops of the cheapest path to path and returns the
	// estimate for it. It returns false if no path has capacity left.
	Choose(request PathRequest, nodes []PathNode, path []PathHop) (chosen []PathHop, estimate PathEstimate, ok bool)
}

// RangeNode is an upstream as input to a [RangePlacement].
type RangeNode struct {
	Upstream    string
	Zone        int // index of its availability zone
	Accelerator Accelerator
	Slots       int        // maximum number of concurrent requests as the first hop of a path; 0 for no limit
	Layers      LayerRange // that it holds or was ordered to hold; used only if Pinned
	Pinned      bool       // whether Layers must not change
	Movable     bool       // whether a pinned node may change its layers after all to fill a gap of its zone
}

// RangePlacement spreads a model's layers over upstreams with different
// accelerators. It is deterministic, so that every entry VM computes the same
// ranges from the same input.
type RangePlacement interface {
	// Place returns a layer range for each node. Pinned nodes keep theirs; those
	// that are movable change it only if their zone would otherwise lack layers.
	// zones is the number of availability zones.
	Place(model *ModelProfile, zones int, nodes []RangeNode) (ranges []LayerRange)
}

// PlanRangesEffect computes layer ranges with a [RangePlacement], which takes too
// long for the control goroutine. The result is a [RangesPlannedMsg].
type PlanRangesEffect struct {
	Service string
	Model   *ModelProfile // not modified while it is in use
	Zones   int
	Nodes   []RangeNode
}

// RangesPlannedMsg carries the layer ranges of a [PlanRangesEffect], by node.
type RangesPlannedMsg struct {
	Service string
	Nodes   []RangeNode
	Ranges  []LayerRange
}

// Progress holds the last time at which an upstream made progress. It is the only
// part of the control state that traffic goroutines write, which saves a message
// for each event of a response stream. The zero value has recorded no progress.
// It is safe for concurrent use.
type Progress struct {
	unixNanos atomic.Int64 // 0 for none
}

// Record sets the time of the last progress.
func (p *Progress) Record(at time.Time) { p.unixNanos.Store(at.UnixNano()) }

// Last returns the time of the last progress, or the zero time if there was none.
func (p *Progress) Last() (at time.Time) {
	nanos := p.unixNanos.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
