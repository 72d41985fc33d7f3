package system

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// firstContactTimeout is how long a starting node waits for a listed peer that
// does not answer.
const firstContactTimeout = 2 * time.Second

// Readiness decides whether the node should receive requests and when its drain
// is complete. It reads Streams, Peers, Requests and PendingAppends and writes
// Self.
//
// A starting node is synced once it has read the configuration stream to its
// end, or has a configuration from a peer, and is not behind any peer. A node
// that reaches neither the log nor a peer is not ready, since its configuration
// may be out of date.
type Readiness struct{}

// Run implements [System].
func (s *Readiness) Run(t *table.Tables, now time.Time) {
	for _, correlationID := range t.Events.Drains {
		s.startDrain(t, now, correlationID)
	}
	if !t.Self.Synced {
		s.updateSynced(t, now)
	}
	ready, reason := s.evaluate(t, now)
	if ready != t.Self.Ready || reason != t.Self.NotReadyReason {
		t.RecordDecision(now, lentilmux.Decision{What: "ready", Subject: t.Self.Name, Chosen: fmt.Sprint(ready), Reason: reason})
	}
	t.Self.Ready, t.Self.NotReadyReason = ready, reason
	s.finishDrain(t, now)
}

// updateSynced marks the node as synced once nothing is left to wait for.
func (s *Readiness) updateSynced(t *table.Tables, now time.Time) {
	if s.syncBlocker(t, now) == "" {
		t.Self.Synced = true
	}
}

// syncBlocker returns what the node still has to wait for before it is synced,
// or an empty string.
func (s *Readiness) syncBlocker(t *table.Tables, now time.Time) string {
	config := &t.Streams.Config
	if t.Self.LastContactAt.IsZero() {
		return "neither the log nor a peer has answered"
	}
	if !timelineStarted(t) {
		return "the log was restored and its timeline has not started"
	}
	if !config.CaughtUp && (config.Healthy() || t.Self.Revision == 0) {
		return "the configuration is not read to the log's end"
	}
	if t.Streams.Calls.Healthy() && !t.Streams.Calls.CaughtUp {
		return "the calls are not read to the log's end"
	}
	timedOut := now.Sub(t.Self.StartedAt) >= firstContactTimeout
	for i := range t.Peers.Rows {
		p := &t.Peers.Rows[i]
		if p.LastDigestAt.IsZero() && p.FailingSince.IsZero() && !timedOut {
			t.WakeAt(t.Self.StartedAt.Add(firstContactTimeout))
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

// evaluate returns whether the node is ready and, if not, the reason.
func (s *Readiness) evaluate(t *table.Tables, now time.Time) (ready bool, reason string) {
	switch {
	case t.Self.Draining():
		return false, "draining"
	case !t.Self.Synced:
		return false, s.syncBlocker(t, now)
	case now.Sub(t.Self.LastContactAt) >= t.Limits.MaxStaleness:
		return false, "neither the log nor a peer answers"
	case t.Streams.Config.NewerRecordSeen:
		return false, "a configuration record needs a newer version of the program"
	}
	t.WakeAt(t.Self.LastContactAt.Add(t.Limits.MaxStaleness))
	return true, ""
}

// startDrain begins the drain of this node.
func (s *Readiness) startDrain(t *table.Tables, now time.Time, correlationID lentilmux.CorrelationID) {
	if t.Self.Draining() {
		t.Answer(correlationID, lentilmux.DrainedAnswer{})
		return
	}
	t.Self.DrainingAt = now
	t.Self.DrainCorrelationID = correlationID
	t.RecordDecision(now, lentilmux.Decision{What: "drain", Subject: t.Self.Name, Chosen: "begin", Reason: "a planned stop was asked for"})
}

// finishDrain answers the drain once the grace period is over, no request is
// left and the log has all outcomes. If the log is unavailable, it waits for
// the outcomes no longer than Limits.OwnerTimeout after the grace period.
func (s *Readiness) finishDrain(t *table.Tables, now time.Time) {
	if !t.Self.Draining() || t.Self.DrainCorrelationID == 0 {
		return
	}
	graceEnd := t.Self.DrainingAt.Add(t.Limits.DrainGrace)
	if now.Before(graceEnd) {
		t.WakeAt(graceEnd)
		return
	}
	outcomeDeadline := graceEnd.Add(t.Limits.OwnerTimeout)
	if len(t.Requests.Rows) > 0 || (len(t.PendingAppends.Rows) > 0 && now.Before(outcomeDeadline)) {
		t.WakeAt(outcomeDeadline)
		return
	}
	t.Answer(t.Self.DrainCorrelationID, lentilmux.DrainedAnswer{})
	t.Self.DrainCorrelationID = 0
	t.RecordDecision(now, lentilmux.Decision{What: "drain", Subject: t.Self.Name, Chosen: "done", Reason: "no request is left"})
}
