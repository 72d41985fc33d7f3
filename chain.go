package lentilmux

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// EngineModel tells how fast the upstreams of a service run a model whose
// layers are spread over them, and what their memory holds.
type EngineModel struct {
	Layers          int
	LayerBytes      int64
	CacheBytes      int64         // of one token in all layers
	Step            time.Duration // of all layers, at pace 1
	StepPerStream   time.Duration // added for each stream that writes
	StepPerContext  time.Duration // added for each 1,000 tokens of their contexts
	ReadPerSecond   float64       // prompt tokens, of all layers, at factor 1
	ActivationBytes int64         // of one token between two upstreams
	PipeBitRate     float64       // bits a second between two availability zones
	Stride          int           // steps a pass, and tokens an event
	UsualPrompt     int           // tokens
	UsualAnswer     int           // tokens
	LoadTime        time.Duration // of all layers
	Cards           []Card
	ZoneDelays      []ZoneDelay
}

// Card is a kind of accelerator.
type Card struct {
	Name       string
	Bytes      int64
	Pace       float64 // multiplies steps
	ReadFactor float64 // multiplies the reading of prompts
}

// Card returns the card of that name, or false if the model lists none.
func (m *EngineModel) Card(name string) (card Card, ok bool) {
	for _, c := range m.Cards {
		if c.Name == name {
			return c, true
		}
	}
	return Card{}, false
}

// LayersMost returns the most layers that a card holds.
func (m *EngineModel) LayersMost(card Card) int {
	if m.LayerBytes <= 0 {
		return 0
	}
	return min(int(card.Bytes/m.LayerBytes), m.Layers)
}

// CacheMost returns how many tokens times layers fit beside the layers that a
// card holds.
func (m *EngineModel) CacheMost(card Card, layers int) int64 {
	if m.CacheBytes <= 0 || m.Layers <= 0 {
		return 0
	}
	return max(0, (card.Bytes-int64(layers)*m.LayerBytes)*int64(m.Layers)/m.CacheBytes)
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

// ChainNode is an upstream as the choice of a path sees it.
type ChainNode struct {
	Zone     int // index of its availability zone
	Holds    LayerRange
	Pace     float64 // of its card, times how slow it was seen to be
	Factor   float64 // of its card for prompts, times the same
	Streams  int     // requests of all VMs on it
	Waiting  int     // prompt tokens of all VMs that it has still to read
	Reserved int64   // tokens times layers that all VMs expect to use
	Capacity int64   // tokens times layers
	Full     bool    // whether it takes no more requests as the first of a path
}

// ChainAsk is what a request needs of a path.
type ChainAsk struct {
	Model  *EngineModel
	Layers LayerRange // that the path has to run
	Within bool       // whether the path has to stay in one availability zone
	Joined bool       // whether the path goes on from another upstream
	Zone   int        // of the entry VM, or of the upstream before
	Prompt int        // tokens to read
	Answer int        // tokens that it is expected to write
}

// ChainPart is one hop of a chosen path, by the index of its node.
type ChainPart struct {
	Node   int
	Layers LayerRange
}

// ChainPace is how fast a path is expected to be.
type ChainPace struct {
	First time.Duration // to the first event
	Gap   time.Duration // between events
	Fill  float64       // of the memory of the fullest upstream, with the request
}

// ChainChoice picks the upstreams that run a request's layers in order.
type ChainChoice interface {
	// Choose appends the parts of the cheapest path to path, with what is
	// expected of it. It returns false if no path has room.
	Choose(ask ChainAsk, nodes []ChainNode, path []ChainPart) (chosen []ChainPart, pace ChainPace, ok bool)
}

// RangeNode is an upstream as the placement of ranges sees it.
type RangeNode struct {
	Upstream string
	Zone     int
	Card     Card
	Slots    int // requests that it takes at once as the first of a path; zero for no bound
	Holds    LayerRange
	Held     bool // whether Holds stays as it is
}

// RangePlacement spreads a model's layers over unlike upstreams. The same
// input gives the same ranges on every VM.
type RangePlacement interface {
	// Spread returns a range for each node, the one it holds if that is set.
	Spread(model *EngineModel, zones int, nodes []RangeNode) (ranges []LayerRange)
}

// Pulse is the last time at which an upstream was seen to make progress. It is
// the only state that traffic and the control goroutine share, so that an event
// of a stream costs no message. The zero value has seen nothing.
type Pulse struct {
	nanos atomic.Int64
}

// Beat notes progress at the time at.
func (p *Pulse) Beat(at time.Time) { p.nanos.Store(at.UnixNano()) }

// Last returns the last progress, or the zero time.
func (p *Pulse) Last() (at time.Time) {
	nanos := p.nanos.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}
