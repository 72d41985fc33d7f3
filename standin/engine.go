package standin

import (
	"context"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// CrashMarker is a text in a prompt that makes an engine crash when it runs a step
// of the request.
const CrashMarker = "<crash-engine>"

// Errors returned by simulated engines and services.
const (
	// ErrDead is returned for a dead engine or service, or an address without one.
	ErrDead = errors.ConstError("engine is dead")
	// ErrLayersNotLoaded is returned if the requested model and layer range are not
	// the loaded ones.
	ErrLayersNotLoaded = errors.ConstError("engine does not hold these layers")
	// ErrFull is returned if all slots and the queue are taken.
	ErrFull = errors.ConstError("engine is full")
	// ErrStaleFence is returned for an order whose fencing token is older than that
	// of an order accepted earlier.
	ErrStaleFence = errors.ConstError("order is older than one that was obeyed")
	// ErrPositionOutOfOrder is returned for a step that skips or repeats a position.
	ErrPositionOutOfOrder = errors.ConstError("position out of order")
	// ErrStaleEpoch is returned for a stage whose epoch is not newer than an earlier one
	// of the same request.
	ErrStaleEpoch = errors.ConstError("epoch is not newer than one that ran")
	// ErrClosed is returned by a step whose stage is closed while the step runs.
	ErrClosed = errors.ConstError("stage was closed")
	// ErrTooManyLayers is returned for an order of more layers than the engine can
	// hold.
	ErrTooManyLayers = errors.ConstError("more layers than the engine can hold")
)

// EngineSpec is the configuration of an engine.
type EngineSpec struct {
	Name                string
	MaxLayers           int           // maximum number of layers it can hold
	LayerStepsPerSecond int           // a layer step runs one layer at one position; 0 for no limit
	Slots               int           // requests that run concurrently; as many again are queued
	ReportLag           time.Duration // maximum age of its load report
	LinkDelay           time.Duration // one-way network delay of steps and load reports
	IgnoresFence        bool          // accept orders with stale fencing tokens
	Store               *WeightStore  // source of the weights; nil to load without delay
	RestartDelay        time.Duration // time from a crash by [CrashMarker] to the restart; 0 for no restart
}

// EngineLedgerEntry is one entry of an engine's ledger: a step, in which a
// request's attempt ran a layer range at one position.
type EngineLedgerEntry struct {
	Request  lentilmux.RequestID  `json:"request"`
	Epoch    lentilmux.Epoch      `json:"epoch"`
	Position int                  `json:"position"`
	Layers   lentilmux.LayerRange `json:"layers"`
}

// Engine simulates one model engine that holds one layer range of one model. Its
// steps take time at a fixed speed, and their output is a hash that depends on
// every layer (see [ExpectedTokens]).
type Engine struct {
	spec EngineSpec

	mu             sync.Mutex
	layersLoaded   bool
	model          string
	layers         lentilmux.LayerRange
	fence          lentilmux.Revision // highest fencing token accepted since the engine started
	running        int                // open streams, running and queued
	busyUntil      time.Time          // when the steps scheduled so far complete
	ledger         []EngineLedgerEntry
	lastEpochs     map[lentilmux.RequestID]lentilmux.Epoch // newest epoch of each request
	cachedPrefixes []lentilmux.Fingerprint
	lastReport     lentilmux.LoadReport
	leaving        bool
	dead           bool
	frozen         chan struct{} // closed when the engine thaws; nil if it is not frozen
	died           chan struct{} // closed when the engine dies
	blackholed     chan struct{} // closed to blackhole the open streams
	crashes        int
	onAliveChange  func(alive bool)
}

// NewEngine returns a live engine without layers; [Engine.Order] loads some.
func NewEngine(spec EngineSpec) *Engine {
	return &Engine{
		spec: spec, died: make(chan struct{}), blackholed: make(chan struct{}),
		lastEpochs: make(map[lentilmux.RequestID]lentilmux.Epoch),
	}
}

// Spec returns the configuration that was given to [NewEngine].
func (e *Engine) Spec() EngineSpec { return e.spec }

// OnAliveChange sets the function that is called when the engine dies or is
// revived. It is called with the engine's lock held and must not call the engine.
func (e *Engine) OnAliveChange(notify func(alive bool)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onAliveChange = notify
}

// Ledger returns the steps that the engine ran, oldest first.
func (e *Engine) Ledger() []EngineLedgerEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]EngineLedgerEntry(nil), e.ledger...)
}

// Crashes returns how many times a prompt with [CrashMarker] crashed the engine.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Load returns the engine's load report, which can be as old as the spec's
// ReportLag. The call takes one round trip on the link.
func (e *Engine) Load(ctx context.Context) (report lentilmux.LoadReport, err error) {
	if err := e.waitUntilResponsive(ctx); err != nil {
		return lentilmux.LoadReport{}, err
	}
	if err := sleepOrDone(ctx, 2*e.linkDelay()); err != nil {
		return lentilmux.LoadReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.lastReport.At.IsZero() || now.Sub(e.lastReport.At) >= e.spec.ReportLag {
		e.lastReport = lentilmux.LoadReport{
			Running: min(e.running, e.spec.Slots), Queued: max(0, e.running-e.spec.Slots),
			Layers: e.layers, HasLayers: e.layersLoaded, Model: e.model, Leaving: e.leaving, Fence: e.fence,
			CachedPrefixes: append([]lentilmux.Fingerprint(nil), e.cachedPrefixes...), At: now,
		}
	}
	return e.lastReport, nil
}

// Order makes the engine load a layer range in place of its present one. New
// stages are rejected until the weights are loaded; open streams over the
// previous range continue. An order for the present range only raises the fencing token.
// It fails with [ErrStaleFence] or [ErrTooManyLayers].
func (e *Engine) Order(ctx context.Context, order lentilmux.Order) (err error) {
	if err := e.waitUntilResponsive(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.spec.IgnoresFence && order.Fence < e.fence {
		return ErrStaleFence
	}
	if order.Layers.Len() > e.spec.MaxLayers {
		return ErrTooManyLayers
	}
	e.fence = max(e.fence, order.Fence)
	if e.layersLoaded && e.model == order.Model && e.layers == order.Layers {
		return nil
	}
	e.layersLoaded, e.model, e.layers = false, order.Model, order.Layers
	if e.spec.Store == nil {
		e.layersLoaded = true
		return nil
	}
	ready := e.spec.Store.ScheduleFetch(order.Layers.Len())
	go e.finishLoading(order, ready, e.died)
	return nil
}

// finishLoading marks an order's layers as loaded at the time ready, unless
// another order replaced it or the engine died.
func (e *Engine) finishLoading(order lentilmux.Order, ready time.Time, died <-chan struct{}) {
	timer := time.NewTimer(time.Until(ready))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-died:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.dead && e.model == order.Model && e.layers == order.Layers {
		e.layersLoaded = true
	}
}

// OpenStage opens the stream of one attempt over the engine's layer range. It fails
// with FailureRefused if the range is not loaded, the engine is full, or the
// epoch is not newer than the request's last one.
func (e *Engine) OpenStage(ctx context.Context, open lentilmux.StageOpen) (stage lentilmux.Stage, err error) {
	if err := e.waitUntilResponsive(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reject := func(cause error) (lentilmux.Stage, error) {
		return nil, &lentilmux.UpstreamError{Kind: lentilmux.FailureRefused, Err: cause}
	}
	switch {
	case !e.layersLoaded || e.model != open.Model || e.layers != open.Layers:
		return reject(ErrLayersNotLoaded)
	case e.running >= 2*e.spec.Slots:
		return reject(ErrFull)
	case open.Epoch <= e.lastEpochs[open.Request]:
		return reject(ErrStaleEpoch)
	}
	e.running++
	e.lastEpochs[open.Request] = open.Epoch
	e.cachePrefix(open)
	return &engineStage{
		engine: e, open: open, died: e.died, blackholed: e.blackholed, closed: make(chan struct{}),
		contextHash: hashContext(open.Model, open.Prompt, open.Generated), nextPosition: len(open.Generated),
	}, nil
}

// maxCachedPrefixes is the maximum number of prompt prefixes in an engine's KV
// cache.
const maxCachedPrefixes = 8

// cachePrefix adds the prompt's prefix to the cached ones and evicts the oldest
// beyond maxCachedPrefixes. One prefix in four is never cached and so never
// reported. The caller holds mu.
func (e *Engine) cachePrefix(open lentilmux.StageOpen) {
	prefix := lentilmux.ComputePrefixFingerprint(open.Model, open.Prompt)
	if prefix%4 == 0 {
		return
	}
	for _, p := range e.cachedPrefixes {
		if p == prefix {
			return
		}
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > maxCachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
}

// scheduleStep records a step in the ledger and queues it for execution. It returns
// the time at which the engine completes it and the one-way delay of the link.
func (e *Engine) scheduleStep(stage *engineStage, input lentilmux.StepInput) (ready time.Time, linkDelay time.Duration, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-stage.died:
		return time.Time{}, 0, &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
	default:
	}
	if input.Position != stage.nextPosition {
		return time.Time{}, 0, &lentilmux.UpstreamError{Kind: lentilmux.FailureProtocol, Err: ErrPositionOutOfOrder}
	}
	if strings.Contains(stage.open.Prompt, CrashMarker) {
		e.crashLocked()
		return time.Time{}, 0, &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
	}
	now := time.Now()
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	if e.spec.LayerStepsPerSecond > 0 {
		e.busyUntil = e.busyUntil.Add(time.Duration(stage.open.Layers.Len()) * time.Second / time.Duration(e.spec.LayerStepsPerSecond))
	}
	e.ledger = append(e.ledger, EngineLedgerEntry{Request: stage.open.Request, Epoch: stage.open.Epoch, Position: input.Position, Layers: stage.open.Layers})
	stage.nextPosition++
	return e.busyUntil, e.spec.LinkDelay, nil
}
