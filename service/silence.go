package service

import (
	"net"
	"net/http"
	"time"
)

// keepAliveUnit is the unit in which the kernel's keep-alive times are set. Package
// net rounds shorter times up to it.
const keepAliveUnit = time.Second

// silenceTimers are the times after which a connection is probed and closed. The
// kernel counts them from the last packet that it received. Since a probe that is
// answered is such a packet, a connection is never quiet for longer than idle, and
// any longer time without a packet is silence of the peer.
type silenceTimers struct {
	idle     time.Duration // from the last packet to the first probe
	interval time.Duration // between two probes
	count    int           // probes without an answer that close a connection, where userTimeout does not exist
	// userTimeout is the value of TCP_USER_TIMEOUT: how long sent bytes may stay
	// unacknowledged, and, instead of count, how long a connection may receive nothing
	// until a probe that is due closes it.
	userTimeout time.Duration
}

// newSilenceTimers returns the timers that close no connection before a silence
// longer than tolerated. A silence may begin just before the first probe. The
// probe after its longest time still has to be sent, and its answer has half an
// interval.
func newSilenceTimers(tolerated time.Duration) silenceTimers {
	t := silenceTimers{idle: keepAliveUnit, interval: keepAliveUnit}
	lost := int((tolerated + t.interval - 1) / t.interval) // probes that may be lost in one silence
	t.count = lost + 1
	t.userTimeout = t.idle + time.Duration(lost)*t.interval + t.interval/2
	return t
}

// WithToleratedSilence closes connections whose peer does not respond, but only
// after a silence of the peer longer than silence. It does not matter how long a
// connection was quiet before, since nothing had to be sent on it. TCP keep-alive
// covers connections that wait for the peer or are idle; on Linux, TCP_USER_TIMEOUT
// covers those with unacknowledged data.
func WithToleratedSilence(silence time.Duration) Option {
	return func(_ *http.Transport, d *net.Dialer) {
		timers := newSilenceTimers(silence)
		d.Control = tcpUserTimeout(timers.userTimeout)
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: timers.idle, Interval: timers.interval, Count: timers.count}
	}
}
