package system

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// meetFor is how long a starting node waits for a listed peer that does not
// answer.
const meetFor = 2 * time.Second

// Readiness decides whether the node should be sent requests, and when its
// planned stop is done. It reads Streams and Peers and writes Self.
//
// A starting node joins once it has read the configuration to the log's end, or
// has a peer's, and is not behind any peer. One that hears neither the log nor
// a peer is not ready, since its configuration may be old.
type Readiness struct{}

// Run implements [System].
func (s *Readiness) Run(t *table.Tables, now time.Time) {
	for _, ticket := range t.Events.Drains {
		s.drain(t, now, ticket)
	}
	if !t.Self.Synced {
		s.join(t, now)
	}
	ready, reason := s.judge(t, now)
	if ready != t.Self.Ready || reason != t.Self.NotReadyReason {
		t.RecordDecision(now, lentilmux.Decision{What: "ready", Subject: t.Self.Name, Chosen: fmt.Sprint(ready), Reason: reason})
	}
	t.Self.Ready, t.Self.NotReadyReason = ready, reason
	s.drained(t, now)
}

// join marks the node as joined once it knows what its peers know.
func (s *Readiness) join(t *table.Tables, now time.Time) {
	if s.missing(t, now) == "" {
		t.Self.Synced = true
	}
}

// missing returns what the node still waits for before it joins.
func (s *Readiness) missing(t *table.Tables, now time.Time) string {
	config := &t.Streams.Config
	if t.Self.LastContactAt.IsZero() {
		return "neither the log nor a peer has answered"
	}
	if !config.CaughtUp && (config.Healthy() || t.Self.Revision == 0) {
		return "the configuration is not read to the log's end"
	}
	if t.Streams.Calls.Healthy() && !t.Streams.Calls.CaughtUp {
		return "the calls are not read to the log's end"
	}
	met := now.Sub(t.Self.StartedAt) >= meetFor
	for i := range t.Peers.Rows {
		p := &t.Peers.Rows[i]
		if p.LastDigestAt.IsZero() && p.FailingSince.IsZero() && !met {
			t.WakeAt(t.Self.StartedAt.Add(meetFor))
			return "peer " + p.Name + " has not answered yet"
		}
		if p.Digest.Revision > t.Self.Revision {
			return fmt.Sprintf("peer %s has revision %d in force", p.Name, p.Digest.Revision)
		}
		if t.Streams.Calls.Healthy() && p.Digest.NextCallOffset > t.Streams.Calls.NextOffset {
			return fmt.Sprintf("peer %s has read the calls up to %d", p.Name, p.Digest.NextCallOffset)
		}
	}
	return ""
}

// judge returns whether the node is ready and, if not, why.
func (s *Readiness) judge(t *table.Tables, now time.Time) (ready bool, reason string) {
	switch {
	case t.Self.Draining():
		return false, "draining"
	case !t.Self.Synced:
		return false, s.missing(t, now)
	case now.Sub(t.Self.LastContactAt) >= t.Limits.MaxStaleness:
		return false, "neither the log nor a peer answers"
	case t.Streams.Config.NewerRecordSeen:
		return false, "a configuration record needs a newer version of the program"
	}
	t.WakeAt(t.Self.LastContactAt.Add(t.Limits.MaxStaleness))
	return true, ""
}

// drain begins the planned stop.
func (s *Readiness) drain(t *table.Tables, now time.Time, ticket lentilmux.CorrelationID) {
	if t.Self.Draining() {
		t.Answer(ticket, lentilmux.DrainedAnswer{})
		return
	}
	t.Self.DrainingAt = now
	t.Self.DrainCorrelationID = ticket
	t.RecordDecision(now, lentilmux.Decision{What: "drain", Subject: t.Self.Name, Chosen: "begin", Reason: "a planned stop was asked for"})
}

// drained answers the drain once the grace is over, no request is left and the
// log has all outcomes. While the log is down outcomes are waited for no longer
// than the owner timeout.
func (s *Readiness) drained(t *table.Tables, now time.Time) {
	if !t.Self.Draining() || t.Self.DrainCorrelationID == 0 {
		return
	}
	graceEnd := t.Self.DrainingAt.Add(t.Limits.DrainGrace)
	if now.Before(graceEnd) {
		t.WakeAt(graceEnd)
		return
	}
	patience := graceEnd.Add(t.Limits.OwnerTimeout)
	if len(t.Requests.Rows) > 0 || (len(t.PendingAppends.Rows) > 0 && now.Before(patience)) {
		t.WakeAt(patience)
		return
	}
	t.Answer(t.Self.DrainCorrelationID, lentilmux.DrainedAnswer{})
	t.Self.DrainCorrelationID = 0
	t.RecordDecision(now, lentilmux.Decision{What: "drain", Subject: t.Self.Name, Chosen: "done", Reason: "no request is left"})
}
