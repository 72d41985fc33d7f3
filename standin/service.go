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

// ServiceLedgerEntry is one entry of a service's ledger: a call that the service
// ran. Key is the call's idempotency key.
type ServiceLedgerEntry struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

// Service simulates one replica of a plain service. It answers each call with a
// JSON object that gives the call's number in the ledger.
type Service struct {
	name  string
	delay time.Duration

	mu            sync.Mutex
	ledger        []ServiceLedgerEntry
	dead          bool
	died          chan struct{} // closed when the service dies
	frozen        chan struct{} // closed when the service thaws; nil if it is not frozen
	onAliveChange func(alive bool)
}

// NewService returns a live service that takes delay to answer each call.
func NewService(name string, delay time.Duration) *Service {
	return &Service{name: name, delay: delay, died: make(chan struct{})}
}

// OnAliveChange sets the function that is called when the service dies or is
// revived. It is called with the service's lock held and must not call the
// service.
func (s *Service) OnAliveChange(notify func(alive bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onAliveChange = notify
}

// Ledger returns the calls that the service ran, oldest first.
func (s *Service) Ledger() []ServiceLedgerEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceLedgerEntry(nil), s.ledger...)
}

// Kill simulates the death of the service's process: calls in flight fail with
// FailureCrash and new ones with FailureDial, until Revive.
func (s *Service) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead {
		s.dead = true
		close(s.died)
		if s.onAliveChange != nil {
			s.onAliveChange(false)
		}
	}
}

// Revive restarts a dead service. Its ledger is kept.
func (s *Service) Revive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		s.dead, s.died = false, make(chan struct{})
		if s.onAliveChange != nil {
			s.onAliveChange(true)
		}
	}
}

// Freeze makes the service accept calls without answering them until Thaw.
func (s *Service) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil {
		s.frozen = make(chan struct{})
	}
}

// Thaw ends a freeze. Calls in flight continue.
func (s *Service) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
	}
}

// Run runs one call. It records the call in the ledger first, so that a call which
// fails or times out later counts as executed, and answers after the service's
// delay.
func (s *Service) Run(ctx context.Context, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, err error) {
	died, frozen, callNumber, err := s.recordCall(call)
	if err != nil {
		return lentilmux.ServiceReply{}, err
	}
	if err := s.waitForReply(ctx, died, frozen); err != nil {
		return lentilmux.ServiceReply{}, err
	}
	body, err := json.Marshal(replyBody{Service: s.name, Run: callNumber, Method: call.Method, Path: call.Path})
	if err != nil {
		return lentilmux.ServiceReply{}, err
	}
	return lentilmux.ServiceReply{Status: http.StatusOK, ContentType: "application/json", Body: body}, nil
}

// waitForReply waits for the service's delay and, if the service is frozen, also
// for the end of the freeze. It fails with FailureCrash if the service dies, and
// with FailureTimeout if ctx ends.
func (s *Service) waitForReply(ctx context.Context, died, frozen <-chan struct{}) (err error) {
	timer := time.NewTimer(s.delay)
	defer timer.Stop()
	delayOver := timer.C
	for frozen != nil || delayOver != nil {
		select {
		case <-frozen:
			frozen = nil
		case <-delayOver:
			delayOver = nil
		case <-died:
			return &lentilmux.UpstreamError{Kind: lentilmux.FailureCrash, Err: io.ErrUnexpectedEOF}
		case <-ctx.Done():
			return &lentilmux.UpstreamError{Kind: lentilmux.FailureTimeout, Err: ctx.Err()}
		}
	}
	return nil
}

// replyBody is the JSON body of a service's reply. Run is the number of the call
// in the service's ledger, counted from 1.
type replyBody struct {
	Service string `json:"service"`
	Run     int    `json:"run"`
	Method  string `json:"method"`
	Path    string `json:"path"`
}

// recordCall appends the call to the ledger and returns its number, with the
// channels that are closed when the service dies and when it thaws.
func (s *Service) recordCall(call lentilmux.ServiceCall) (died, frozen <-chan struct{}, callNumber int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return nil, nil, 0, &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: ErrDead}
	}
	s.ledger = append(s.ledger, ServiceLedgerEntry{Method: call.Method, Path: call.Path, Key: call.Key, Body: string(call.Body)})
	return s.died, s.frozen, len(s.ledger), nil
}

// Services implements [lentilmux.Service] by direct calls to services in the same
// process, without a network. Its keys are the services' addresses.
type Services map[netip.AddrPort]*Service

// Call implements [lentilmux.Service]. An unknown address fails with FailureDial.
func (s Services) Call(ctx context.Context, upstream netip.AddrPort, call lentilmux.ServiceCall) (reply lentilmux.ServiceReply, err error) {
	service, ok := s[upstream]
	if !ok {
		return lentilmux.ServiceReply{}, &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: ErrDead}
	}
	return service.Run(ctx, call)
}

// Probe checks that the service at an address is alive, and fails with [ErrDead]
// if it is dead or the address is unknown.
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
