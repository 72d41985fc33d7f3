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
func (h *ApplyReports) Run(t *Tables, now time.Time) {
	for _, digest := range t.Events.Digests {
		h.digest(t, digest, now)
	}
	lost := false
	for _, vm := range t.VMs.Rows {
		if len(vm.Loads) > 0 && !t.heard(vm, now) {
			vm.Loads = nil
			lost = true
			t.RecordDecision(lentilmux.Decision{What: "vm_lost", Subject: vm.Name, Reason: fmt.Sprintf("silent for %s", now.Sub(vm.LastDigestAt).Round(time.Millisecond))})
		}
	}
	if lost || len(t.Events.Digests) > 0 {
		h.tally(t, now)
	}
	for _, msg := range t.Events.Reports {
		h.report(t, msg, now)
	}
	for _, msg := range t.Events.OrderResults {
		h.placed(t, msg, now)
	}
}

// digest replaces what is known of another VM's work, unless the digest is
// older than the last one.
func (h *ApplyReports) digest(t *Tables, d lentilmux.LoadDigest, now time.Time) {
	if d.VM == t.Self.Name || d.VM == "" {
		return
	}
	vm := t.VMs.GetOrCreate(d.VM)
	if vm.Incarnation == d.Incarnation && d.Sequence <= vm.Sequence || d.Incarnation < vm.Incarnation {
		return
	}
	if !t.heard(vm, now) {
		t.RecordDecision(lentilmux.Decision{What: "vm_met", Subject: d.VM, Chosen: d.Addr.String(), Reason: "digest"})
	}
	vm.Incarnation, vm.Sequence, vm.LastDigestAt, vm.UnansweredSince = d.Incarnation, d.Sequence, now, time.Time{}
	vm.Zone, vm.Addr, vm.Draining, vm.Stale, vm.RetryCounts = d.Zone, d.Addr, d.Draining, d.Stale, d.RetryCounts
	t.Zones.Index(vm.Zone)
	if d.Scope == lentilmux.ScopeFleet {
		h.whole(t, d, now)
	} else {
		vm.Scope, vm.VMCount, vm.Loads, vm.Suspects = d.Scope, d.VMCount, d.Loads, d.Suspects
	}
	for _, id := range d.Suspects {
		if row := t.Upstreams.Find(id); row != nil && !row.Dead {
			h.hearsay(t, row, d.VM, now)
		}
	}
}

// hearsay handles another VM's word that an upstream is dead. It is believed
// unless this VM saw progress or an answer of late.
func (h *ApplyReports) hearsay(t *Tables, row *UpstreamRow, vm string, now time.Time) {
	if now.Sub(row.Progress.Last()) < t.Limits.ProgressTimeout || now.Sub(row.ReportedAt) < t.Limits.MinProbeInterval {
		return
	}
	row.Dead, row.ReportedByPeer = true, true
	t.RecordDecision(lentilmux.Decision{What: "upstream_dead", Subject: row.ID, Reason: "word of " + vm})
	t.suspect(row, now, "word of "+vm)
}

// whole takes a relay's sum of all VMs' work. Only one relay is listened to at a
// time.
func (h *ApplyReports) whole(t *Tables, d lentilmux.LoadDigest, now time.Time) {
	if t.FleetLoads.Relay < d.VM && t.FleetLoads.fresh(now, t.Limits.PeerTimeout) {
		return
	}
	t.FleetLoads = FleetLoads{Relay: d.VM, ReceivedAt: now, VMCount: d.VMCount, Loads: d.Loads, RetryCounts: d.RetryCounts}
}

// tally counts in the members' rows what other VMs have under way.
func (h *ApplyReports) tally(t *Tables, now time.Time) {
	for _, row := range t.Upstreams.Rows {
		row.PeerLoad = Load{}
	}
	if t.relayed() && !t.isRelay(now) {
		h.add(t, t.FleetLoads.Loads)
		for _, row := range t.Upstreams.Rows {
			row.PeerLoad.add(row.OwnLoad, -1) // the sum has this VM's own work in it
		}
		return
	}
	for _, vm := range t.sources(now) {
		h.add(t, vm.Loads)
	}
}

// add counts loads in the members' rows.
func (h *ApplyReports) add(t *Tables, loads []lentilmux.UpstreamLoad) {
	for _, load := range loads {
		if row := t.Upstreams.Find(load.Upstream); row != nil {
			row.PeerLoad.add(loadOf(load), 1)
			if load.Slowdown > 0 {
				row.Slowdown = load.Slowdown
			}
		}
	}
}

func loadOf(load lentilmux.UpstreamLoad) Load {
	return Load{Streams: load.Streams, PendingPromptTokens: load.PendingPromptTokens, Reserved: load.Reserved}
}

// report takes an upstream's own word. One that answers is no longer suspect.
func (h *ApplyReports) report(t *Tables, msg lentilmux.UpstreamReportMsg, now time.Time) {
	row := t.Upstreams.Find(msg.Upstream)
	if row == nil {
		return
	}
	if msg.Err != nil {
		h.miss(t, row, msg.Err, now)
		return
	}
	r := msg.Report
	if !r.StartedAt.IsZero() && !r.StartedAt.Equal(row.StartedAt) {
		h.replaced(t, row, r, now)
		return
	}
	row.MissedProbes, row.Dead, row.ReportedByPeer = 0, false, false
	if !row.SuspectUntil.IsZero() {
		row.SuspectUntil = time.Time{}
		t.RecordDecision(lentilmux.Decision{What: "upstream_trusted", Subject: row.ID, Reason: "it reported"})
	}
	if r.Slowdown > 0 && (r.Slowdown > 1.2*row.Slowdown || row.Slowdown > 1.2*r.Slowdown) {
		t.RecordDecision(lentilmux.Decision{What: "upstream_pace", Subject: row.ID, Chosen: fmt.Sprintf("%.2f", r.Slowdown), Reason: fmt.Sprintf("was %.2f", row.Slowdown)})
	}
	if r.AcceptedOrders != row.AcceptedOrders {
		row.OrderRefusedAt = time.Time{} // what it expects is known now
	}
	row.Slowdown, row.ReportedAt, row.AcceptedOrders, row.StateUnknown = max(r.Slowdown, 1), now, r.AcceptedOrders, false
	h.layers(t, row, r, now)
	if row.HasTarget && !r.OrderRunning && (!r.HasLayers || r.Layers != row.Target) && now.Sub(row.OrderedAt) > t.Limits.OrderTimeout {
		row.HasTarget = false
	}
}

// replaced handles the report of another process than the one that the entry
// tells of: that one has ended, and its address serves an upstream whose entry
// is still to come.
func (h *ApplyReports) replaced(t *Tables, row *UpstreamRow, r lentilmux.UpstreamReport, now time.Time) {
	if !row.Dead {
		row.Dead = true
		t.RecordDecision(lentilmux.Decision{What: "upstream_dead", Subject: row.ID, Reason: fmt.Sprintf("a process of %s answers, not that of %s", r.StartedAt.UTC().Format(time.RFC3339Nano), row.StartedAt.UTC().Format(time.RFC3339Nano))})
	}
	t.suspect(row, now, "another process answers")
}

// layers takes the range that an upstream reports, unless its entry was renewed
// so short a time ago that the report may be older.
func (h *ApplyReports) layers(t *Tables, row *UpstreamRow, r lentilmux.UpstreamReport, now time.Time) {
	if r.HasLayers == row.HasLayers && r.Layers == row.Layers || r.OrderRunning || now.Sub(row.EntryReadAt) < t.Limits.MaxReportLag {
		return
	}
	t.RecordDecision(lentilmux.Decision{
		What: "layers_reported", Subject: row.ID, Chosen: layersText(r.Layers, r.HasLayers),
		Reason: fmt.Sprintf("was %s, orders=%d", layersText(row.Layers, row.HasLayers), r.AcceptedOrders),
	})
	row.HasLayers, row.Layers = r.HasLayers, r.Layers
}

// layersText writes a range for the log.
func layersText(layers lentilmux.LayerRange, held bool) string {
	if !held {
		return "none"
	}
	return fmt.Sprintf("%d-%d", layers.First, layers.Last)
}

// miss counts an unanswered question. One that is refused says at once that
// nobody is there; a late answer may have been lost on the way.
func (h *ApplyReports) miss(t *Tables, row *UpstreamRow, err error, now time.Time) {
	row.MissedProbes++
	var step *lentilmux.UpstreamError
	refused := errors.As(err, &step) && step.Kind == lentilmux.FailureDial && !errors.Is(err, context.DeadlineExceeded)
	if !refused && row.MissedProbes < t.Limits.MaxMissedProbes {
		row.ProbedAt = time.Time{}
		t.ask(row, now)
		return
	}
	row.ReportedByPeer = false
	if !row.Dead {
		row.Dead = true
		t.RecordDecision(lentilmux.Decision{What: "upstream_dead", Subject: row.ID, Reason: fmt.Sprintf("%d questions without an answer: %v", row.MissedProbes, err)})
	}
	t.suspect(row, now, "no answer")
}

// placed takes the answer to an order.
func (h *ApplyReports) placed(t *Tables, msg lentilmux.RangeOrderResultMsg, now time.Time) {
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
