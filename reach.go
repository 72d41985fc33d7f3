package lentilmux

import "net/netip"

// ConnectEffect opens a new connection to an upstream and closes it again. The
// result is a [ConnectResultMsg].
type ConnectEffect struct {
	Upstream string
	Addr     netip.AddrPort
}

// ReachabilityEffect publishes whether this VM reaches its upstreams.
type ReachabilityEffect struct {
	Reachable bool
}

// ConnectResultMsg reports whether a [ConnectEffect] could open its connection. It
// has no answer.
type ConnectResultMsg struct {
	Upstream string
	Err      error // nil if the upstream accepted the connection
}
