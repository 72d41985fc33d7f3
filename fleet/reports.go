package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// ApplyReports takes in what other entry VMs and upstreams say. It reads Events.Digests,
// Events.Reports and Events.Placed and writes VMs and Members.
type ApplyReports struct{}

// Run implements [System].
func (a *ApplyReports) Run(t *Tables, now time.Time) {
	for _, digest := range t.Events.Digests {
		a.applyDigest(t, digest, now)
	}
	anyLost := false
	for _, vm := range t.VMs.Rows {
		if len(vm.Loads) > 0 && !t.isLive(vm, now) {
			vm.Loads = nil
			anyLost = true
			t.RecordDecision(lentilmux.Decision{What: "vm_lost", Subject: vm.Name, Reason: fmt.Sprintf("silent for %s", now.Sub(vm.LastDigestAt).Round(time.Millisecond))})
		}
	}
	if anyLost || len(t.Events.Digests) > 0 {
		a.recountPeerLoads(t, now)
	}
	for _, msg := range t.Events.Reports {
		a.applyReport(t, msg, now)
	}
	for _, msg := range t.Events.OrderResults {
		a.applyOrderResult(t, msg, now)
	}
}

// applyDigest replaces what is known of another VM's work, unless the digest is
// older than the last one.
func (a *ApplyReports) applyDigest(t *Tables, digest lentilmux.LoadDigest, now time.Time) {
	if digest.VM == t.Self.Name || digest.VM == "" {
		return
	}
	vm := t.VMs.GetOrCreate(digest.VM)
	if vm.Incarnation == digest.Incarnation && digest.Sequence <= vm.Sequence || digest.Incarnation < vm.Incarnation {
		return
	}
	if !t.isLive(vm, now) {
		t.RecordDecision(lentilmux.Decision{What: "vm_met", Subject: digest.VM, Chosen: digest.Addr.String(), Reason: "digest"})
	}
	vm.Incarnation, vm.Sequence, vm.LastDigestAt, vm.UnansweredSince = digest.Incarnation, digest.Sequence, now, time.Time{}
	vm.Zone, vm.Addr, vm.Draining, vm.Stale, vm.RetryCounts = digest.Zone, digest.Addr, digest.Draining, digest.Stale, digest.RetryCounts
	t.Zones.Index(vm.Zone)
	if digest.Scope == lentilmux.ScopeFleet {
		a.applyFleetLoads(t, digest, now)
	} else {
		vm.Scope, vm.VMCount, vm.Loads, vm.Suspects = digest.Scope, digest.VMCount, digest.Loads, digest.Suspects
	}
	for _, id := range digest.Suspects {
		if row := t.Upstreams.Find(id); row != nil && !row.Dead {
			a.applyPeerSuspicion(t, row, digest.VM, now)
		}
	}
}

// applyPeerSuspicion handles another VM's word that an upstream is dead. It is believed
// unless this VM saw progress or an answer of late.
func (a *ApplyReports) applyPeerSuspicion(t *Tables, row *UpstreamRow, vm string, now time.Time) {
	if now.Sub(row.Progress.Last()) < t.Limits.ProgressTimeout || now.Sub(row.ReportedAt) < t.Limits.MinProbeInterval {
		return
	}
	row.Dead, row.ReportedByPeer = true, true
	t.RecordDecision(lentilmux.Decision{What: "upstream_dead", Subject: row.ID, Reason: "word of " + vm})
	t.markSuspected(row, now, "word of "+vm)
}

// applyFleetLoads takes a relay's sum of all VMs' work. Only one relay is listened to at a
// time.
func (a *ApplyReports) applyFleetLoads(t *Tables, digest lentilmux.LoadDigest, now time.Time) {
	if t.FleetLoads.Relay < digest.VM && t.FleetLoads.isFresh(now, t.Limits.PeerTimeout) {
		return
	}
	t.FleetLoads = FleetLoads{Relay: digest.VM, ReceivedAt: now, VMCount: digest.VMCount, Loads: digest.Loads, RetryCounts: digest.RetryCounts}
}

// recountPeerLoads counts in the members' rows what other VMs have under way.
func (a *ApplyReports) recountPeerLoads(t *Tables, now time.Time) {
	for _, row := range t.Upstreams.Rows {
		row.PeerLoad = Load{}
	}
	if t.usesRelays() && !t.isRelay(now) {
		a.addPeerLoads(t, t.FleetLoads.Loads)
		for _, row := range t.Upstreams.Rows {
			row.PeerLoad.add(row.OwnLoad, -1) // the sum has this VM's own work in it
		}
		return
	}
	for _, vm := range t.digestSources(now) {
		a.addPeerLoads(t, vm.Loads)
	}
}

// addPeerLoads counts loads in the members' rows.
func (a *ApplyReports) addPeerLoads(t *Tables, loads []lentilmux.UpstreamLoad) {
	for _, load := range loads {
		if row := t.Upstreams.Find(load.Upstream); row != nil {
			row.PeerLoad.add(toLoad(load), 1)
			if load.Slowdown > 0 {
				row.Slowdown = load.Slowdown
			}
		}
	}
}

func toLoad(load lentilmux.UpstreamLoad) Load {
	return Load{Streams: load.Streams, PendingPromptTokens: load.PendingPromptTokens, Reserved: load.Reserved}
}

// applyReport takes an upstream's own word. One that answers is no longer suspect.
func (a *ApplyReports) applyReport(t *Tables, msg lentilmux.UpstreamReportMsg, now time.Time) {
	row := t.Upstreams.Find(msg.Upstream)
	if row == nil {
		return
	}
	if msg.Err != nil {
		a.recordMissedProbe(t, row, msg.Err, now)
		return
	}
	report := msg.Report
	if !report.StartedAt.IsZero() && !report.StartedAt.Equal(row.StartedAt) {
		a.handleProcessChange(t, row, report, now)
		return
	}
	row.MissedProbes, row.Dead, row.ReportedByPeer = 0, false, false
	if !row.SuspectUntil.IsZero() {
		row.SuspectUntil = time.Time{}
		t.RecordDecision(lentilmux.Decision{What: "upstream_trusted", Subject: row.ID, Reason: "it reported"})
	}
	if report.Slowdown > 0 && (report.Slowdown > 1.2*row.Slowdown || row.Slowdown > 1.2*report.Slowdown) {
		t.RecordDecision(lentilmux.Decision{What: "upstream_pace", Subject: row.ID, Chosen: fmt.Sprintf("%.2f", report.Slowdown), Reason: fmt.Sprintf("was %.2f", row.Slowdown)})
	}
	if report.AcceptedOrders != row.AcceptedOrders {
		row.OrderRefusedAt = time.Time{} // what it expects is known now
	}
	row.Slowdown, row.ReportedAt, row.AcceptedOrders, row.StateUnknown = max(report.Slowdown, 1), now, report.AcceptedOrders, false
	a.applyReportedLayers(t, row, report, now)
	if row.HasTarget && !report.OrderRunning && (!report.HasLayers || report.Layers != row.Target) && now.Sub(row.OrderedAt) > t.Limits.OrderTimeout {
		row.HasTarget = false
	}
}

// handleProcessChange handles the report of another process than the one that the entry
// tells of: that one has ended, and its address serves an upstream whose entry
// is still to come.
func (a *ApplyReports) handleProcessChange(t *Tables, row *UpstreamRow, report lentilmux.UpstreamReport, now time.Time) {
	if !row.Dead {
		row.Dead = true
		t.RecordDecision(lentilmux.Decision{What: "upstream_dead", Subject: row.ID, Reason: fmt.Sprintf("a process of %s answers, not that of %s", report.StartedAt.UTC().Format(time.RFC3339Nano), row.StartedAt.UTC().Format(time.RFC3339Nano))})
	}
	t.markSuspected(row, now, "another process answers")
}

// applyReportedLayers takes the range that an upstream reports, unless its entry was renewed
// so short a time ago that the report may be older.
func (a *ApplyReports) applyReportedLayers(t *Tables, row *UpstreamRow, report lentilmux.UpstreamReport, now time.Time) {
	if report.HasLayers == row.HasLayers && report.Layers == row.Layers || report.OrderRunning || now.Sub(row.EntryReadAt) < t.Limits.MaxReportLag {
		return
	}
	t.RecordDecision(lentilmux.Decision{
		What: "layers_reported", Subject: row.ID, Chosen: formatLayers(report.Layers, report.HasLayers),
		Reason: fmt.Sprintf("was %s, orders=%d", formatLayers(row.Layers, row.HasLayers), report.AcceptedOrders),
	})
	row.HasLayers, row.Layers = report.HasLayers, report.Layers
}

// formatLayers writes a range for the log.
func formatLayers(layers lentilmux.LayerRange, hasLayers bool) string {
	if !hasLayers {
		return "none"
	}
	return fmt.Sprintf("%d-%d", layers.First, layers.Last)
}

// recordMissedProbe counts an unanswered question. One that is refused says at once that
// nobody is there; a late answer may have been lost on the way.
func (a *ApplyReports) recordMissedProbe(t *Tables, row *UpstreamRow, err error, now time.Time) {
	row.MissedProbes++
	var upstreamErr *lentilmux.UpstreamError
	refused := errors.As(err, &upstreamErr) && upstreamErr.Kind == lentilmux.FailureDial && !errors.Is(err, context.DeadlineExceeded)
	if !refused && row.MissedProbes < t.Limits.MaxMissedProbes {
		row.ProbedAt = time.Time{}
		t.probe(row, now)
		return
	}
	row.ReportedByPeer = false
	if !row.Dead {
		row.Dead = true
		t.RecordDecision(lentilmux.Decision{What: "upstream_dead", Subject: row.ID, Reason: fmt.Sprintf("%d questions without an answer: %v", row.MissedProbes, err)})
	}
	t.markSuspected(row, now, "no answer")
}

// applyOrderResult takes the answer to an order.
func (a *ApplyReports) applyOrderResult(t *Tables, msg lentilmux.RangeOrderResultMsg, now time.Time) {
	row := t.Upstreams.Find(msg.Upstream)
	if row == nil || !row.HasTarget || row.Target != msg.Order.Layers {
		return
	}
	switch {
	case msg.Err != nil:
		t.RecordDecision(lentilmux.Decision{What: "order_unanswered", Subject: row.ID, Reason: msg.Err.Error()})
	case !msg.Accepted:
		// Its state is not what was expected: ask it before anything else.
		row.HasTarget, row.StateUnknown, row.OrderRefusedAt = false, true, now
		row.ProbedAt = now
		t.AddEffect(lentilmux.FetchReportEffect{Upstream: row.ID, Addr: row.Addr})
		t.RecordDecision(lentilmux.Decision{What: "order_refused", Subject: row.ID, Reason: fmt.Sprintf("expected %d orders before", msg.Order.ExpectedOrders)})
	default:
		row.AcceptedOrders = msg.Order.ExpectedOrders + 1
	}
}
