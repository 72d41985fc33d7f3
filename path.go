package lentilmux

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// ModelProfile tells how fast the upstreams of a service run a model whose
// layers are spread over them, and what their memory holds.
type ModelProfile struct {
	Layers                 int
	LayerBytes             int64
	CacheBytesPerToken     int64         // of one token in all layers
	StepTime               time.Duration // of all layers, at pace 1
	StepTimePerStream      time.Duration // added for each stream that writes
	StepTimePerContext     time.Duration // added for each 1,000 tokens of their contexts
	PrefillTokensPerSecond float64       // prompt tokens, of all layers, at factor 1
	ActivationBytes        int64         // of one token between two upstreams
	ZoneLinkBitRate        float64       // bits a second between two availability zones
	TokensPerEvent         int           // steps a pass, and tokens an event
	TypicalPromptTokens    int           // tokens
	TypicalAnswerTokens    int           // tokens
	LoadTime               time.Duration // of all layers
	Accelerators           []Accelerator
	ZoneDelays             []ZoneDelay
}

// Accelerator is a kind of accelerator.
type Accelerator struct {
	Name          string
	MemoryBytes   int64
	StepFactor    float64 // multiplies steps
	PrefillFactor float64 // multiplies the reading of prompts
}

// Accelerator returns the card of that name, or false if the model lists none.
func (m *ModelProfile) Accelerator(name string) (accelerator Accelerator, ok bool) {
	for _, c := range m.Accelerators {
		if c.Name == name {
			return c, true
		}
	}
	return Accelerator{}, false
}

// MaxLayers returns the most layers that a card holds.
func (m *ModelProfile) MaxLayers(accelerator Accelerator) int {
	if m.LayerBytes <= 0 {
		return 0
	}
	return min(int(accelerator.MemoryBytes/m.LayerBytes), m.Layers)
}

// CacheCapacity returns how many tokens times layers fit beside the layers that a
// card holds.
func (m *ModelProfile) CacheCapacity(accelerator Accelerator, layers int) int64 {
	if m.CacheBytesPerToken <= 0 || m.Layers <= 0 {
		return 0
	}
	return max(0, (accelerator.MemoryBytes-int64(layers)*m.LayerBytes)*int64(m.Layers)/m.CacheBytesPerToken)
}

// ZoneDelay is the time that bytes take between two availability zones.
type ZoneDelay struct {
	From, To string
	Delay    time.Duration
}

// Hop is the part of a path that one upstream runs.
type Hop struct {
	Upstream string
	Addr     netip.AddrPort
	Layers   LayerRange
}

// PathNode is an upstream as the choice of a path sees it.
type PathNode struct {
	Zone                int // index of its availability zone
	Layers              LayerRange
	StepFactor          float64 // of its card, times how slow it was seen to be
	PrefillFactor       float64 // of its card for prompts, times the same
	Streams             int     // requests of all VMs on it
	PendingPromptTokens int     // prompt tokens of all VMs that it has still to read
	Reserved            int64   // tokens times layers that all VMs expect to use
	Capacity            int64   // tokens times layers
	Full                bool    // whether it takes no more requests as the first of a path
}

// PathRequest is what a request needs of a path.
type PathRequest struct {
	Model          *ModelProfile
	Layers         LayerRange // that the path has to run
	SingleZone     bool       // whether the path has to stay in one availability zone
	HasPredecessor bool       // whether the path goes on from another upstream
	SourceZone     int        // of the entry VM, or of the upstream before
	PromptTokens   int        // tokens to read
	AnswerTokens   int        // tokens that it is expected to write
}

// PathHop is one hop of a chosen path, by the index of its node.
type PathHop struct {
	Node   int
	Layers LayerRange
}

// PathEstimate is how fast a path is expected to be.
type PathEstimate struct {
	TimeToFirstEvent time.Duration // to the first event
	EventGap         time.Duration // between events
	MaxMemoryUse     float64       // of the memory of the fullest upstream, with the request
}

// PathSelector picks the upstreams that run a request's layers in order.
type PathSelector interface {
	// Choose appends the parts of the cheapest path to path, with what is
	// expected of it. It returns false if no path has room.
	Choose(ask PathRequest, nodes []PathNode, path []PathHop) (chosen []PathHop, pace PathEstimate, ok bool)
}

// RangeNode is an upstream as the placement of ranges sees it.
type RangeNode struct {
	Upstream    string
	Zone        int
	Accelerator Accelerator
	Slots       int // requests that it takes at once as the first of a path; zero for no bound
	Layers      LayerRange
	Pinned      bool // whether Holds stays as it is
}

// RangePlacement spreads a model's layers over unlike upstreams. The same
// input gives the same ranges on every VM.
type RangePlacement interface {
	// Spread returns a range for each node, the one it holds if that is set.
	Place(model *ModelProfile, zones int, nodes []RangeNode) (ranges []LayerRange)
}

// Progress is the last time at which an upstream was seen to make progress. It is
// the only state that traffic and the control goroutine share, so that an event
// of a stream costs no message. The zero value has seen nothing.
type Progress struct {
	unixNanos atomic.Int64
}

// Record notes progress at the time at.
func (p *Progress) Record(at time.Time) { p.unixNanos.Store(at.UnixNano()) }

// Last returns the last progress, or the zero time.
func (p *Progress) Last() (at time.Time) {
	nanos := p.unixNanos.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
