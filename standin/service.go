package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"lentilmux.example/lentilmux"
)

// ServiceRun is a line of a service's ledger.
type ServiceRun struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

// Service is a stand-in of one plain service.
type Service struct {
	name  string
	delay time.Duration

	mu     sync.Mutex
	ledger []ServiceRun
	dead   bool
	life   chan struct{}
	frozen chan struct{}
	onLife func(alive bool)
}

// NewService returns a service that takes delay for each call.
func NewService(name string, delay time.Duration) *Service {
	return &Service{name: name, delay: delay, life: make(chan struct{})}
}

// OnAliveChange sets what is told when the service dies or is revived. It must not
// call the service.
func (s *Service) OnAliveChange(tell func(alive bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onLife = tell
}

// Ledger returns the calls that the service ran.
func (s *Service) Ledger() []ServiceRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceRun(nil), s.ledger...)
}

// Kill makes the service die: running calls break and new ones fail.
func (s *Service) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead {
		s.dead = true
		close(s.life)
		if s.onLife != nil {
			s.onLife(false)
		}
	}
}

// Revive starts a dead service anew; its ledger stays.
func (s *Service) Revive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		s.dead, s.life = false, make(chan struct{})
		if s.onLife != nil {
			s.onLife(true)
		}
	}
}

// Freeze makes the service hang until Thaw.
func (s *Service) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil {
		s.frozen = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (s *Service) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

// Run runs one call: it writes the ledger first, then takes its time.
func (s *Service) Run(ctx context.Context, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, err error) {
	life, frozen, number, err := s.enter(call)
	if err != nil {
		return lentilmux.ServiceReply{}, err
	}
	if err := s.wait(ctx, life, frozen); err != nil {
		return lentilmux.ServiceReply{}, err
	}
	body, err := json.Marshal(serviceReply{Service: s.name, Run: number, Method: call.Method, Path: call.Path})
	if err != nil {
		return lentilmux.ServiceReply{}, err
	}
	return lentilmux.ServiceReply{Status: http.StatusOK, ContentType: "application/json", Body: body}, nil
}

// wait takes the service's time for a call, after a freeze if there is one.
func (s *Service) wait(ctx context.Context, life, frozen <-chan struct{}) (err error) {
	timer := time.NewTimer(s.delay)
	defer timer.Stop()
	done := timer.C
	for frozen != nil || done != nil {
		select {
		case <-frozen:
			frozen = nil
		case <-done:
			done = nil
		case <-life:
			return &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
		case <-ctx.Done():
			return &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: ctx.Err()}
		}
	}
	return nil
}

type serviceReply struct {
	Service string `json:"service"`
	Run     int    `json:"run"`
	Method  string `json:"method"`
	Path    string `json:"path"`
}

// enter writes the call into the ledger and returns its number.
func (s *Service) enter(call lentilmux.ServiceCall) (life, frozen <-chan struct{}, number int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return nil, nil, 0, &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: ErrDead}
	}
	s.ledger = append(s.ledger, ServiceRun{Method: call.Method, Path: call.Path, Key: call.Key, Body: string(call.Body)})
	return s.life, s.frozen, len(s.ledger), nil
}

// Services implements [lentilmux.Service] over services in the same process.
type Services map[netip.AddrPort]*Service

// Call implements [lentilmux.Service].
func (s Services) Call(ctx context.Context, upstream netip.AddrPort, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, err error) {
	service, ok := s[upstream]
	if !ok {
		return lentilmux.ServiceReply{}, &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: ErrDead}
	}
	return service.Run(ctx, call)
}

// Probe checks that the service is alive.
func (s Services) Probe(_ context.Context, upstream netip.AddrPort) (err error) {
	service, ok := s[upstream]
	if !ok {
		return ErrDead
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.dead {
		return ErrDead
	}
	return nil
}
