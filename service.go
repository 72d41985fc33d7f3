package lentilmux

import (
	"context"
	"net/netip"
)

// Service makes calls to plain services, which are not model engines.
type Service interface {
	// Call makes one call. Errors are of type [*UpstreamError]. The service
	// cannot have acted if their kind is FailureRefused or FailureDial; for all
	// other kinds it may have.
	Call(ctx context.Context, upstream netip.AddrPort, call ServiceCall) (reply ServiceReply, err error)
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Request     RequestID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Key         string // the caller's idempotency key, which is forwarded
}

// ServiceReply is the answer of a plain service.
type ServiceReply struct {
	Status      int
	ContentType string
	Body        []byte
}

// The range of the HTTP statuses that end a call.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// HasFinalStatus reports whether the status can be that of an answer to a caller.
func (r ServiceReply) HasFinalStatus() bool {
	return r.Status >= minFinalStatus && r.Status <= maxFinalStatus
}
