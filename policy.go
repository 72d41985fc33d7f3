package lentilmux

import "time"

// Candidate is an upstream that could take a request.
type Candidate struct {
	Upstream        string
	SameZone        bool
	Cached          bool          // whether a cache event named the request's prefix
	InFlight        int           // own and, as last heard, other VMs' requests
	Capacity        float64       // requests in flight that keep it busy
	ReportedLoad    int           // running and queued as last reported
	ReportAge       time.Duration // of the report
	RelativeRTT     float64       // round trip, in parts of the gap between tokens that is aimed at
	SlowStartWeight float64       // 0 to 1, below 1 for an upstream just back
}

// Dispatch picks one of several candidates. It never sees an empty list and
// returns an index into it.
type Dispatch interface {
	Pick(candidates []Candidate) (index int)
}

// PlacementNode is an engine that placement may use.
type PlacementNode struct {
	Upstream  string
	Zone      string
	MaxLayers int // the most it can hold
	Rate      int // layer steps a second
}

// PlacedStage is a range of layers and the engines that hold it.
type PlacedStage struct {
	Layers    LayerRange
	Upstreams []string
}

// Placement spreads a model's layers over nodes. The same input gives the same
// stages on every VM. It returns no stages if the nodes cannot hold the model.
type Placement interface {
	Place(layers int, nodes []PlacementNode) (stages []PlacedStage)
}

// WorkspaceLoad is what admission knows of one workspace.
type WorkspaceLoad struct {
	Workspace string
	Share     float64
	Priority  int
	Running   int // over all VMs, as last heard
	Queued    int // at this VM
}

// Admission picks the workspace whose oldest queued request goes next. It
// never sees an empty list and returns an index into it.
type Admission interface {
	Next(loads []WorkspaceLoad) (index int)
}
