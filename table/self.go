package table

import (
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
)

// Self is the node's own row.
type Self struct {
	Name               string
	Zone               string
	Addr               netip.AddrPort // where it listens for peers
	Incarnation        string         // differs for each start of the process
	StartedAt          time.Time
	Ready              bool
	NotReadyReason     string // why Ready is false
	Synced             bool   // whether it once knew what its peers know
	DrainingAt         time.Time
	DrainCorrelationID lentilmux.CorrelationID
	Revision           lentilmux.Revision // of the configuration in force
	RetryTokens        float64            // the retry budget that is left
	LastIntent         uint64
	LastContactAt      time.Time // when the log or a peer last answered
}

// Draining reports whether the node's own planned stop has begun.
func (s *Self) Draining() bool { return !s.DrainingAt.IsZero() }
