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

// CrashMarker in a prompt makes every engine that runs it crash.
const CrashMarker = "<crash-engine>"

// Errors of engines.
const (
	ErrDead               = errors.ConstError("engine is dead")
	ErrLayersNotLoaded    = errors.ConstError("engine does not hold these layers")
	ErrFull               = errors.ConstError("engine is full")
	ErrStaleFence         = errors.ConstError("order is older than one that was obeyed")
	ErrPositionOutOfOrder = errors.ConstError("position out of order")
	ErrOldEpoch           = errors.ConstError("epoch is not newer than one that ran")
	ErrClosed             = errors.ConstError("stage was closed")
	ErrTooManyLayers      = errors.ConstError("more layers than the engine can hold")
)

// EngineSpec describes an engine.
type EngineSpec struct {
	Name         string
	Layers       int           // the most it can hold
	Rate         int           // layer steps a second; 0 for no limit
	Slots        int           // requests at once, twice as many are taken
	ReportLag    time.Duration // age of what it reports
	LinkDelay    time.Duration // delay of each step and report, one way
	IgnoresFence bool
	Store        *WeightStore // where layers come from; nil for at once
	RestartDelay time.Duration
}

// EngineRun is a line of an engine's ledger: the layers that ran for one position.
type EngineRun struct {
	Request  lentilmux.RequestID  `json:"request"`
	Epoch    lentilmux.Epoch      `json:"epoch"`
	Position int                  `json:"position"`
	Layers   lentilmux.LayerRange `json:"layers"`
}

// Engine is a stand-in of one model engine.
type Engine struct {
	spec EngineSpec

	mu       sync.Mutex
	held     bool
	model    string
	layers   lentilmux.LayerRange
	fence    lentilmux.Revision
	running  int
	free     time.Time // when the work taken so far is done
	ledger   []EngineRun
	epochs   map[lentilmux.RequestID]lentilmux.Epoch
	prefixes []lentilmux.Fingerprint
	reported lentilmux.LoadReport
	leaving  bool
	dead     bool
	frozen   chan struct{} // closed when the engine thaws; nil if it is not frozen
	life     chan struct{} // closed when the engine dies
	silent   chan struct{} // closed when connections that are open go silent
	crashes  int
	onLife   func(alive bool)
}

// NewEngine returns an engine that holds no layers.
func NewEngine(spec EngineSpec) *Engine {
	return &Engine{
		spec: spec, life: make(chan struct{}), silent: make(chan struct{}),
		epochs: make(map[lentilmux.RequestID]lentilmux.Epoch),
	}
}

// Spec returns the engine's description.
func (e *Engine) Spec() EngineSpec { return e.spec }

// OnAliveChange sets what is told when the engine dies or is revived. It must not call
// the engine.
func (e *Engine) OnAliveChange(tell func(alive bool)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onLife = tell
}

// Ledger returns what the engine ran so far.
func (e *Engine) Ledger() []EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]EngineRun(nil), e.ledger...)
}

// Crashes returns how often a request crashed the engine.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Kill makes the engine die: its streams break and new ones are not taken.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
}

func (e *Engine) kill() {
	if e.dead {
		return
	}
	e.dead, e.held, e.running, e.fence = true, false, 0, 0
	close(e.life)
	if e.onLife != nil {
		e.onLife(false)
	}
}

// Revive starts a dead engine anew; it holds no layers.
func (e *Engine) Revive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.dead {
		return
	}
	e.dead, e.life, e.free = false, make(chan struct{}), time.Time{}
	e.reported = lentilmux.LoadReport{}
	if e.onLife != nil {
		e.onLife(true)
	}
}

// Freeze makes the engine hang until Thaw.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen == nil {
		e.frozen = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
}

// BlackholeStreams makes the streams that are open go silent for good; new ones work.
func (e *Engine) BlackholeStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.silent)
	e.silent = make(chan struct{})
}

// SetLeaving makes the engine report that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// link returns the delay of the engine's link, one way.
func (e *Engine) link() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.spec.LinkDelay
}

// SetLinkDelay changes the delay of each step, one way.
func (e *Engine) SetLinkDelay(delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spec.LinkDelay = delay
}

// answering waits until the engine is not frozen. It fails when the engine dies
// or ctx ends.
func (e *Engine) answering(ctx context.Context) (err error) {
	for {
		e.mu.Lock()
		dead, frozen, life := e.dead, e.frozen, e.life
		e.mu.Unlock()
		if dead {
			return &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: ErrDead}
		}
		if frozen == nil {
			return nil
		}
		select {
		case <-frozen:
		case <-life:
		case <-ctx.Done():
			return &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: ctx.Err()}
		}
	}
}

// Load returns the engine's report, which lags.
func (e *Engine) Load(ctx context.Context) (report lentilmux.LoadReport, err error) {
	if err := e.answering(ctx); err != nil {
		return lentilmux.LoadReport{}, err
	}
	if err := pause(ctx, 2*e.link()); err != nil {
		return lentilmux.LoadReport{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.reported.At.IsZero() || now.Sub(e.reported.At) >= e.spec.ReportLag {
		e.reported = lentilmux.LoadReport{
			Running: min(e.running, e.spec.Slots), Queued: max(0, e.running-e.spec.Slots),
			Layers: e.layers, HasLayers: e.held, Model: e.model, Leaving: e.leaving, Fence: e.fence,
			CachedPrefixes: append([]lentilmux.Fingerprint(nil), e.prefixes...), At: now,
		}
	}
	return e.reported, nil
}

// Order makes the engine hold a range. It comes into force when the layers are
// loaded; streams over the old range go on.
func (e *Engine) Order(ctx context.Context, order lentilmux.Order) (err error) {
	if err := e.answering(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.spec.IgnoresFence && order.Fence < e.fence {
		return ErrStaleFence
	}
	if order.Layers.Len() > e.spec.Layers {
		return ErrTooManyLayers
	}
	e.fence = max(e.fence, order.Fence)
	if e.held && e.model == order.Model && e.layers == order.Layers {
		return nil
	}
	e.held, e.model, e.layers = false, order.Model, order.Layers
	if e.spec.Store == nil {
		e.held = true
		return nil
	}
	ready := e.spec.Store.ScheduleFetch(order.Layers.Len())
	go e.loaded(order, ready, e.life)
	return nil
}

// loaded puts an order's range in force at the time ready, unless another order
// came or the engine died.
func (e *Engine) loaded(order lentilmux.Order, ready time.Time, life <-chan struct{}) {
	timer := time.NewTimer(time.Until(ready))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-life:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.dead && e.model == order.Model && e.layers == order.Layers {
		e.held = true
	}
}

// OpenStage starts a stream over the engine's range.
func (e *Engine) OpenStage(ctx context.Context, open lentilmux.StageOpen) (stage lentilmux.Stage, err error) {
	if err := e.answering(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	refused := func(cause error) (lentilmux.Stage, error) {
		return nil, &lentilmux.UpstreamError{Kind: lentilmux.FailureRefused, Err: cause}
	}
	switch {
	case !e.held || e.model != open.Model || e.layers != open.Layers:
		return refused(ErrLayersNotLoaded)
	case e.running >= 2*e.spec.Slots:
		return refused(ErrFull)
	case open.Epoch <= e.epochs[open.Request]:
		return refused(ErrOldEpoch)
	}
	e.running++
	e.epochs[open.Request] = open.Epoch
	e.remember(open)
	return &run{
		engine: e, open: open, life: e.life, silent: e.silent, closed: make(chan struct{}),
		context: contextOf(open.Model, open.Prompt, open.Generated), next: len(open.Generated),
	}, nil
}

// cachedPrefixes is how many prompt prefixes an engine keeps.
const cachedPrefixes = 8

// remember keeps the prompt's prefix; of every four one is never reported.
func (e *Engine) remember(open lentilmux.StageOpen) {
	prefix := lentilmux.ComputePrefixFingerprint(open.Model, open.Prompt)
	if prefix%4 == 0 {
		return
	}
	for _, p := range e.prefixes {
		if p == prefix {
			return
		}
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > cachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
}

// take books a step with the engine and returns when it will be done.
func (e *Engine) take(r *run, input lentilmux.StepInput) (ready time.Time, link time.Duration, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-r.life:
		return time.Time{}, 0, &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
	default:
	}
	if input.Position != r.next {
		return time.Time{}, 0, &lentilmux.UpstreamError{Kind: lentilmux.FailureProtocol, Err: ErrPositionOutOfOrder}
	}
	if strings.Contains(r.open.Prompt, CrashMarker) {
		e.crash()
		return time.Time{}, 0, &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
	}
	now := time.Now()
	if e.free.Before(now) {
		e.free = now
	}
	if e.spec.Rate > 0 {
		e.free = e.free.Add(time.Duration(r.open.Layers.Len()) * time.Second / time.Duration(e.spec.Rate))
	}
	e.ledger = append(e.ledger, EngineRun{Request: r.open.Request, Epoch: r.open.Epoch, Position: input.Position, Layers: r.open.Layers})
	r.next++
	return e.free, e.spec.LinkDelay, nil
}

// crash kills the engine; it comes back by itself if its description says so.
func (e *Engine) crash() {
	e.crashes++
	e.kill()
	if e.spec.RestartDelay > 0 {
		time.AfterFunc(e.spec.RestartDelay, e.Revive)
	}
}
