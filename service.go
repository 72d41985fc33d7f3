package lentilmux

import (
	"context"
	"net/netip"
)

// Service is a plain service beside the model engines.
type Service interface {
	// Call makes one call. A failure is a [*StepError]; its kind tells
	// whether the service can have acted: not for FailureRefused and
	// FailureDial.
	Call(ctx context.Context, upstream netip.AddrPort, call ServiceCall) (reply ServiceReply, err error)
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Request     RequestID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Key         string // the caller's idempotency key, passed on
}

// ServiceReply is the answer of a plain service.
type ServiceReply struct {
	Status      int
	ContentType string
	Body        []byte
}
