package standin

import (
	"context"
	"net/netip"
	"sync"

	"lentilmux.example/lentilmux"
)

// Engines implements [lentilmux.Engine] by direct calls to engines in the same
// process, without a network.
type Engines struct {
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*Engine
}

// NewEngines returns an Engines without any engine.
func NewEngines() *Engines {
	return &Engines{byAddr: make(map[netip.AddrPort]*Engine)}
}

// Add registers an engine under an address and replaces any earlier one.
func (e *Engines) Add(addr netip.AddrPort, engine *Engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byAddr[addr] = engine
}

// lookup returns the engine at an address, or a [*lentilmux.UpstreamError] of
// kind FailureDial if there is none.
func (e *Engines) lookup(addr netip.AddrPort) (engine *Engine, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	engine, ok := e.byAddr[addr]
	if !ok {
		return nil, &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: ErrDead}
	}
	return engine, nil
}

// OpenStage implements [lentilmux.Engine].
func (e *Engines) OpenStage(ctx context.Context, upstream netip.AddrPort, open lentilmux.StageOpen) (stage lentilmux.Stage, err error) {
	engine, err := e.lookup(upstream)
	if err != nil {
		return nil, err
	}
	return engine.OpenStage(ctx, open)
}

// Load implements [lentilmux.Engine].
func (e *Engines) Load(ctx context.Context, upstream netip.AddrPort) (report lentilmux.LoadReport, err error) {
	engine, err := e.lookup(upstream)
	if err != nil {
		return lentilmux.LoadReport{}, err
	}
	return engine.Load(ctx)
}

// SendOrder implements [lentilmux.Engine].
func (e *Engines) SendOrder(ctx context.Context, upstream netip.AddrPort, order lentilmux.Order) (err error) {
	engine, err := e.lookup(upstream)
	if err != nil {
		return err
	}
	return engine.Order(ctx, order)
}

// Probe implements [lentilmux.Engine]. It requests a load report and discards it.
func (e *Engines) Probe(ctx context.Context, upstream netip.AddrPort) (err error) {
	engine, err := e.lookup(upstream)
	if err != nil {
		return err
	}
	_, err = engine.Load(ctx)
	return err
}
