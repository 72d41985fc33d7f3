package lentilmux

import "time"

// ServiceHash identifies a service in load digests, by a hash of its name.
type ServiceHash uint32

// HashService returns the hash of the name of a service.
func HashService(name string) ServiceHash { return ServiceHash(ComputeFingerprint(name)) }

// ServiceShortage tells that requests to a service lately found no room.
type ServiceShortage struct {
	Service  ServiceHash
	Priority int           // of the most urgent of these requests
	Age      time.Duration // since one of that priority last found none
}

// RoomDecisionEffect counts a request to a service whose upstreams hold layers that got
// room, or was refused for want of it.
type RoomDecisionEffect struct {
	Priority  int
	Served    bool
	Returning bool // whether its caller was refused before
}

// RequestHash identifies the contents of a request in load digests, by the lower 32 bits
// of its fingerprint.
type RequestHash uint32

// HashRequest returns the hash of a request with the given fingerprint.
func HashRequest(fingerprint Fingerprint) RequestHash { return RequestHash(fingerprint) }

// RefusedRequest is a request that was refused for want of room and whose caller may
// return.
type RefusedRequest struct {
	Request   RequestHash
	Remaining time.Duration // for which its caller is expected
}
