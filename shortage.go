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
