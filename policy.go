package lentilmux

import "time"

// Candidate is an upstream that can take a request, as input to [Dispatch].
type Candidate struct {
	Upstream        string
	SameZone        bool
	Cached          bool          // whether the upstream reported the prompt's prefix in its KV cache
	InFlight        int           // requests of this node and, as last reported, of its peers
	Capacity        float64       // number of requests in flight that use it fully
	ReportedLoad    int           // requests running and queued, as last reported by the upstream
	ReportAge       time.Duration // age of that report
	RelativeRTT     float64       // round-trip time divided by the target gap between tokens
	SlowStartWeight float64       // 0 to 1; below 1 during slow start after an ejection
}

// Dispatch picks the upstream for a request. Pick returns an index into
// candidates, which are never empty.
type Dispatch interface {
	Pick(candidates []Candidate) (index int)
}

// PlacementNode is an engine that placement may use.
type PlacementNode struct {
	Upstream            string
	Zone                string
	MaxLayers           int // maximum number of layers it can hold
	LayerStepsPerSecond int // a layer step runs one layer at one position
}

// PlacedStage is a layer range and the engines that are to hold it.
type PlacedStage struct {
	Layers    LayerRange
	Upstreams []string
}

// Placement spreads a model's layers over engines. It is deterministic, so that
// every entry VM computes the same stages from the same input. Place returns no
// stages if the nodes cannot hold all layers.
type Placement interface {
	Place(layers int, nodes []PlacementNode) (stages []PlacedStage)
}

// WorkspaceLoad is the load of one workspace, as input to [Admission].
type WorkspaceLoad struct {
	Workspace string
	Share     float64 // fair share of the capacity, 0 to 1
	Priority  int     // 0 is the most urgent
	Running   int     // on all entry VMs, as last reported
	Queued    int     // on this entry VM
}

// Admission picks the workspace whose oldest queued request is sent next. Next
// returns an index into loads, which are never empty.
type Admission interface {
	Next(loads []WorkspaceLoad) (index int)
}
