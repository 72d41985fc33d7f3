package table

import (
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
)

// Self is the state of this node.
type Self struct {
	Name               string
	Zone               string
	Addr               netip.AddrPort // where it listens for peers
	Incarnation        string         // unique for each start of the process
	StartedAt          time.Time
	Ready              bool
	NotReadyReason     string    // why Ready is false
	Synced             bool      // whether it has caught up with the log and its peers since its start
	DrainingAt         time.Time // start of the drain; zero before it
	DrainCorrelationID lentilmux.CorrelationID
	Revision           lentilmux.Revision // of the configuration in force
	RetryTokens        float64            // retry budget left, in retries
	LastCallRecord     uint64             // number of the last intent, crash or release record appended
	LastContactAt      time.Time          // when a read returned all of the log that was new, or a peer last answered
}

// Draining reports whether a drain, the planned stop of this node, has begun.
func (s *Self) Draining() bool { return !s.DrainingAt.IsZero() }
