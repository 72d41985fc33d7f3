package standin

import (
	"context"
	"net/netip"
	"sync"

	"lentilmux.example/lentilmux"
)

// Engines implements [lentilmux.Engine] over engines in the same process.
type Engines struct {
	mu   sync.Mutex
	byIP map[netip.AddrPort]*Engine
}

// NewEngines returns an empty set.
func NewEngines() *Engines {
	return &Engines{byIP: make(map[netip.AddrPort]*Engine)}
}

// Add puts an engine at an address.
func (s *Engines) Add(addr netip.AddrPort, engine *Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byIP[addr] = engine
}

// at returns the engine at an address, or a failed dial.
func (s *Engines) at(addr netip.AddrPort) (engine *Engine, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	engine, ok := s.byIP[addr]
	if !ok {
		return nil, &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: ErrDead}
	}
	return engine, nil
}

// OpenStage implements [lentilmux.Engine].
func (s *Engines) OpenStage(ctx context.Context, upstream netip.AddrPort, open lentilmux.StageOpen) (stage lentilmux.Stage, err error) {
	engine, err := s.at(upstream)
	if err != nil {
		return nil, err
	}
	return engine.OpenStage(ctx, open)
}

// Load implements [lentilmux.Engine].
func (s *Engines) Load(ctx context.Context, upstream netip.AddrPort) (report lentilmux.LoadReport, err error) {
	engine, err := s.at(upstream)
	if err != nil {
		return lentilmux.LoadReport{}, err
	}
	return engine.Load(ctx)
}

// SendOrder implements [lentilmux.Engine].
func (s *Engines) SendOrder(ctx context.Context, upstream netip.AddrPort, order lentilmux.Order) (err error) {
	engine, err := s.at(upstream)
	if err != nil {
		return err
	}
	return engine.Order(ctx, order)
}

// Probe implements [lentilmux.Engine].
func (s *Engines) Probe(ctx context.Context, upstream netip.AddrPort) (err error) {
	engine, err := s.at(upstream)
	if err != nil {
		return err
	}
	_, err = engine.Load(ctx)
	return err
}
