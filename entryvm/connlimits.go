package entryvm

import "time"

const (
	// defaultMemoryBytes is the memory of a VM whose settings do not give it, in bytes.
	defaultMemoryBytes = 512 << 20
	// defaultDescriptors is the number of descriptors of a VM whose settings do not give it.
	defaultDescriptors = 4096
	// callerDescriptorFraction is the divisor of the part of the descriptors that callers
	// get, and peerDescriptorFraction that for peers. The rest is for upstreams and the store.
	callerDescriptorFraction = 3
	peerDescriptorFraction   = 4
	// connMemoryFraction is the divisor of the part of the memory that connections of
	// callers, and those of peers, may take at connectionBytes each.
	connMemoryFraction = 4
	// headMemoryFraction is the divisor of the part of the memory that the heads of callers'
	// requests may hold: with 1/16 the process took 90 of 136 MiB while 600 clients sent heads
	// of 36,000 bytes. Peers get half of that, readiness and metrics a quarter each.
	headMemoryFraction = 32
	// minConns is the least number of connections of callers and of peers.
	minConns = 64
	// maxProbeConns is the default number of connections to the readiness address; the
	// platform needs one.
	maxProbeConns = 64
	// maxMetricsConns is the default number of connections to the metrics address; a
	// collector and an operator need one each.
	maxMetricsConns = 32
	// headLineBytes is what a field of a request's head takes in memory besides its text, in
	// bytes. net/http was measured to take up to 160 for a field with a short name.
	headLineBytes = 160
)

// ConnLimits bound the connections of one server and what they hold. A limit of 0 is not
// set.
type ConnLimits struct {
	Conns int // open connections
	// HeadBytes bounds the estimated memory of the heads of requests that are read or
	// handled, and of what may be buffered of the heads after them, in bytes. Below TLS the
	// estimate is made from encrypted bytes. Trailers do not count.
	HeadBytes int64
	BodyTime  time.Duration // in which a body has to arrive, whatever the caller's deadline
}

// VMLimits are the limits of all servers of a VM.
type VMLimits struct {
	Callers, Readiness, Metrics, Peers ConnLimits
}

// DefaultVMLimits returns the limits for a VM with the given memory in bytes and number of
// descriptors, or the usual ones where they are 0.
func DefaultVMLimits(memoryBytes int64, descriptors int) VMLimits {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	byMemory := int(memoryBytes / connMemoryFraction / connectionBytes)
	heads := memoryBytes / headMemoryFraction
	return VMLimits{
		Callers:   ConnLimits{Conns: max(minConns, min(byMemory, descriptors/callerDescriptorFraction)), HeadBytes: heads, BodyTime: defaultBodyTime},
		Peers:     ConnLimits{Conns: max(minConns, min(byMemory, descriptors/peerDescriptorFraction)), HeadBytes: heads / 2, BodyTime: defaultBodyTime},
		Readiness: ConnLimits{Conns: maxProbeConns, HeadBytes: heads / 4, BodyTime: defaultBodyTime},
		Metrics:   ConnLimits{Conns: maxMetricsConns, HeadBytes: heads / 4, BodyTime: defaultBodyTime},
	}
}

// defaultBodyTime bounds the time for a body to arrive. It is three times the longest
// deadline of the deployments.
const defaultBodyTime = time.Minute

// orElse returns l with the limits of defaults where l sets none.
func (l ConnLimits) orElse(defaults ConnLimits) ConnLimits {
	if l.Conns == 0 {
		l.Conns = defaults.Conns
	}
	if l.HeadBytes == 0 {
		l.HeadBytes = defaults.HeadBytes
	}
	if l.BodyTime == 0 {
		l.BodyTime = defaults.BodyTime
	}
	return l
}

// orElse returns l with the limits of defaults where l sets none.
func (l VMLimits) orElse(defaults VMLimits) VMLimits {
	return VMLimits{
		Callers: l.Callers.orElse(defaults.Callers), Readiness: l.Readiness.orElse(defaults.Readiness),
		Metrics: l.Metrics.orElse(defaults.Metrics), Peers: l.Peers.orElse(defaults.Peers),
	}
}
