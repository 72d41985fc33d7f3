package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// maxProbeDuration is the time after which a probe that failed was read late: it has
// half of this for its answer, so this VM was stalled while the answer came, or should
// have come.
const maxProbeDuration = 500 * time.Millisecond

// ApplyReports applies the load digests of peers, the reports of upstreams and
// the results of orders. It reads Events.Digests, Events.Reports and
// Events.OrderResults and writes VMs, FleetLoads, Zones, Upstreams, Costs and
// ProbeBucket.
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
			t.RecordDecision(lentilmux.Decision{What: "peer_lost", Subject: vm.Name, Reason: fmt.Sprintf("no digest for %s", now.Sub(vm.LastDigestAt).Round(time.Millisecond))})
		}
	}
	if anyLost || len(t.Events.Digests) > 0 {
		t.markIsolated(now)
		a.recountPeerLoads(t, now)
	}
	for _, msg := range t.Events.Reports {
		a.applyReport(t, msg, now)
	}
	for _, msg := range t.Events.OrderResults {
		a.applyOrderResult(t, msg, now)
	}
}

// applyDigest replaces the state of a peer. Digests that are older than the last
// one are ignored, also those of the peer's previous incarnation.
func (a *ApplyReports) applyDigest(t *Tables, digest lentilmux.LoadDigest, now time.Time) {
	if digest.VM == t.Self.Name || digest.VM == "" {
		return
	}
	vm := t.VMs.GetOrCreate(digest.VM)
	if vm.Incarnation == digest.Incarnation && digest.Sequence <= vm.Sequence || digest.Incarnation < vm.Incarnation {
		return
	}
	if !t.isLive(vm, now) {
		t.RecordDecision(lentilmux.Decision{What: "peer_joined", Subject: digest.VM, Chosen: digest.Addr.String(), Reason: "digest received"})
	}
	vm.Incarnation, vm.Sequence, vm.LastDigestAt, vm.UnansweredSince = digest.Incarnation, digest.Sequence, now, time.Time{}
	vm.Zone, vm.Addr, vm.Draining, vm.Stale, vm.RetryCounts = digest.Zone, digest.Addr, digest.Draining, digest.Stale, digest.RetryCounts
	t.Zones.Index(vm.Zone)
	t.applyCounts(vm, &digest, now)
	known := vm.Suspects
	if digest.Scope == lentilmux.ScopeFleet {
		known = vm.FleetSuspects
		vm.FleetSuspects = digest.Suspects
		a.applyFleetLoads(t, digest, now)
	} else {
		vm.Scope, vm.VMCount, vm.Loads, vm.Suspects = digest.Scope, digest.VMCount, digest.Loads, digest.Suspects
		vm.IsolatedVMs, vm.Rules = digest.IsolatedVMs, digest.Rules
	}
	for _, id := range digest.Suspects {
		if row := t.Upstreams.Find(id); row != nil && !row.Dead && !slices.Contains(known, id) {
			a.applyPeerSuspicion(t, row, digest.VM, now)
		}
	}
}

// applyPeerSuspicion handles a peer's new report that an upstream is dead. A peer
// sees only its own link to the upstream, so the report keeps new requests away and
// starts a probe, but only a probe that this VM misses itself makes the upstream
// dead. If this VM recently saw progress at the upstream or got a report from it, it
// goes on using it until the probe tells.
func (a *ApplyReports) applyPeerSuspicion(t *Tables, row *UpstreamRow, vm string, now time.Time) {
	if !t.trustsLinks() {
		return
	}
	if now.Sub(row.Progress.Last()) >= t.Limits.ProgressTimeout && now.Sub(row.ReportedAt) >= t.Limits.MinProbeInterval {
		row.ReportedByPeer = true
		t.NewSuspects = t.NewSuspects || t.usesRelays() && t.isRelay(now) // which passes it on
		t.markSuspected(row, now, "reported by "+vm)
	}
	t.probeReported(row, now)
}

// probeReported probes an upstream that a peer reported as dead. One on which this
// VM has work in flight is probed at once, whatever the share of MaxProbesPerSecond
// that is left: the work has to move if the report is true. So is each by a digest
// relay, which may lead, and whose sums testify for its zone.
func (t *Tables) probeReported(row *UpstreamRow, now time.Time) {
	if row.OwnLoad.Streams == 0 && !(t.usesRelays() && t.isRelay(now)) {
		t.probe(row, now)
		return
	}
	if model, _ := t.ModelAndAccelerator(row); model != nil && now.Sub(row.ProbedAt) >= t.Limits.MinProbeInterval {
		row.ProbedAt = now
		t.AddEffect(lentilmux.FetchReportEffect{Upstream: row.ID, Addr: row.Addr})
	}
}

// applyFleetLoads stores a relay's fleet-wide sum. While the sums of the relay
// with the lowest name are fresh, those of other relays are ignored.
func (a *ApplyReports) applyFleetLoads(t *Tables, digest lentilmux.LoadDigest, now time.Time) {
	if t.FleetLoads.Relay < digest.VM && t.FleetLoads.isFresh(now, t.Limits.PeerTimeout) {
		return
	}
	t.FleetLoads = FleetLoads{Relay: digest.VM, ReceivedAt: now, VMCount: digest.VMCount, RetryCounts: digest.RetryCounts, IsolatedVMs: digest.IsolatedVMs, Rules: digest.Rules}
	for _, row := range t.Upstreams.Rows {
		if covers(&digest, row) {
			row.FleetLoad, row.FleetSpeed = Load{}, SpeedState{}
		}
	}
	for _, load := range digest.Loads {
		if row := t.Upstreams.FindByHash(load.Upstream); row != nil {
			row.FleetLoad.add(toLoad(load), 1)
			row.takeSlowdown(load)
			row.FleetSpeed.addPeer(load.Speed, row.Slowdown, now)
		}
	}
}

// covers reports whether a digest says what is in flight at an upstream.
func covers(digest *lentilmux.LoadDigest, row *UpstreamRow) bool {
	return digest.Slices <= 0 || row.Zone == digest.Zone || int(row.Hash%lentilmux.UpstreamHash(digest.Slices)) == digest.Slice
}

// recountPeerLoads recomputes the load of peers at each upstream.
func (a *ApplyReports) recountPeerLoads(t *Tables, now time.Time) {
	if t.usesRelays() && !t.isRelay(now) {
		for _, row := range t.Upstreams.Rows {
			row.PeerLoad = row.FleetLoad
			row.PeerLoad.add(row.OwnLoad, -1) // the sum includes this VM's own load
			row.PeerSpeed = row.FleetSpeed
		}
		return
	}
	for _, row := range t.Upstreams.Rows {
		row.PeerLoad, row.PeerSpeed, row.ReachedByPeer = Load{}, SpeedState{}, false
	}
	for _, vm := range t.digestSources(now) {
		for _, load := range vm.Loads {
			if row := t.Upstreams.FindByHash(load.Upstream); row != nil {
				row.PeerLoad.add(toLoad(load), 1)
				row.takeSlowdown(load)
				row.PeerSpeed.addPeer(load.Speed, row.Slowdown, now)
				row.ReachedByPeer = row.ReachedByPeer || !vm.Isolated && !slices.Contains(vm.Suspects, row.ID)
			}
		}
	}
}

// takeSlowdown takes over the slowdown that a digest reports, if it has one.
func (u *UpstreamRow) takeSlowdown(load lentilmux.UpstreamLoad) {
	if load.Slowdown > 0 {
		u.Slowdown = load.Slowdown
	}
}

func toLoad(load lentilmux.UpstreamLoad) Load {
	result := Load{Streams: load.Streams, PendingPromptTokens: load.PendingPromptTokens, Reserved: load.Reserved}
	if load.WorkKnown {
		result.WorkLeft, result.TimedStreams = load.WorkLeft, load.Streams
	}
	return result
}

// applyReport applies an upstream's report of its state. An upstream that
// reports is no longer suspected or dead.
func (a *ApplyReports) applyReport(t *Tables, msg lentilmux.UpstreamReportMsg, now time.Time) {
	row := t.Upstreams.Find(msg.Upstream)
	if row == nil {
		return
	}
	if msg.Err != nil {
		a.recordMissedProbe(t, row, msg, now)
		return
	}
	report := msg.Report
	if !report.StartedAt.IsZero() && !report.StartedAt.Equal(row.StartedAt) {
		a.handleProcessChange(t, row, report, now)
		return
	}
	row.MissedProbes, row.ReadLate, row.Dead, row.Ended, row.ReportedByPeer = 0, false, false, false, false
	if !row.SuspectUntil.IsZero() {
		row.SuspectUntil = time.Time{}
		t.RecordDecision(lentilmux.Decision{What: "upstream_recovered", Subject: row.ID, Reason: "state report received"})
	}
	if report.Slowdown > 0 && (report.Slowdown > 1.2*row.Slowdown || row.Slowdown > 1.2*report.Slowdown) {
		t.RecordDecision(lentilmux.Decision{What: "upstream_slowdown_changed", Subject: row.ID, Chosen: fmt.Sprintf("%.2f", report.Slowdown), Reason: fmt.Sprintf("previously %.2f", row.Slowdown)})
	}
	if report.AcceptedOrders != row.AcceptedOrders {
		row.OrderRefusedAt = time.Time{} // the order count that it expects is known now, so the next order need not wait
	}
	row.Slowdown, row.ReportedAt, row.AcceptedOrders, row.StateUnknown = max(report.Slowdown, 1), now, report.AcceptedOrders, false
	row.Speed = row.speed(now)
	a.applyReportedLayers(t, row, report, now)
	// An order without effect after OrderTimeout: drop the target, so that an
	// upstream without layers is placed again.
	if row.HasTarget && !row.OrderedAt.IsZero() && !report.OrderRunning && (!report.HasLayers || report.Layers != row.Target) && now.Sub(row.OrderedAt) > t.Limits.OrderTimeout {
		row.HasTarget = false
	}
}

// handleProcessChange handles a report of another process than the one that
// wrote the entry. The registered process has ended, and its address now serves
// an upstream whose entry has not been read yet.
func (a *ApplyReports) handleProcessChange(t *Tables, row *UpstreamRow, report lentilmux.UpstreamReport, now time.Time) {
	row.Ended = true
	if !row.Dead {
		row.Dead, t.NewSuspects = true, true
		t.RecordDecision(lentilmux.Decision{What: "upstream_dead", Subject: row.ID, Reason: fmt.Sprintf("process started at %s answered, expected the one started at %s", report.StartedAt.UTC().Format(time.RFC3339Nano), row.StartedAt.UTC().Format(time.RFC3339Nano))})
	}
	t.markSuspected(row, now, "another process answered")
}

// applyReportedLayers takes over the layer range that an upstream reports. The
// report is ignored while an order runs and for MaxReportLag after its entry was
// read, since it may be older than the entry.
func (a *ApplyReports) applyReportedLayers(t *Tables, row *UpstreamRow, report lentilmux.UpstreamReport, now time.Time) {
	if report.HasLayers == row.HasLayers && report.Layers == row.Layers || report.OrderRunning || now.Sub(row.EntryReadAt) < t.Limits.MaxReportLag {
		return
	}
	t.RecordDecision(lentilmux.Decision{
		What: "layers_reported", Subject: row.ID, Chosen: formatLayers(report.Layers, report.HasLayers),
		// orders is the number of orders that the upstream has accepted.
		Reason: fmt.Sprintf("previously %s, orders=%d", formatLayers(row.Layers, row.HasLayers), report.AcceptedOrders),
	})
	row.HasLayers, row.Layers = report.HasLayers, report.Layers
}

// formatLayers formats a layer range for the log.
func formatLayers(layers lentilmux.LayerRange, hasLayers bool) string {
	if !hasLayers {
		return "none"
	}
	return fmt.Sprintf("%d-%d", layers.First, layers.Last)
}

// recordMissedProbe counts a failed probe. A refused connection proves that no
// process listens, so the upstream is dead. Any other failure may be a lost
// answer, so the upstream is dead only after MaxMissedProbes failures in a row, or
// after one if a peer reported it as dead too. While this VM doubts its links, the
// failure says nothing of the upstream, nor does one that was read late, unless the
// next is read late too.
func (a *ApplyReports) recordMissedProbe(t *Tables, row *UpstreamRow, msg lentilmux.UpstreamReportMsg, now time.Time) {
	row.ReadLate = msg.Took > maxProbeDuration && !row.ReadLate
	if row.ReadLate {
		row.ProbedAt = time.Time{}
		t.probe(row, now)
		return
	}
	if row.MissedProbes == 0 {
		row.SilentSince = now
		if !row.ProbedAt.IsZero() {
			row.SilentSince = row.ProbedAt
		}
	}
	row.MissedProbes++
	if !t.trustsLinks() {
		return
	}
	refused := errors.Is(msg.Err, lentilmux.ErrNotListening)
	missed := row.MissedProbes
	if row.ReportedByPeer {
		missed++
	}
	if !refused && missed < t.Limits.MaxMissedProbes {
		row.ProbedAt = time.Time{}
		t.probe(row, now)
		return
	}
	row.ReportedByPeer, row.Ended = false, row.Ended || refused
	if !row.Dead {
		row.Dead, t.NewSuspects = true, true
		t.RecordDecision(lentilmux.Decision{What: "upstream_dead", Subject: row.ID, Reason: fmt.Sprintf("%d consecutive probes failed: %v", row.MissedProbes, msg.Err)})
	}
	t.markSuspected(row, now, "probe failed")
}

// applyOrderResult applies an upstream's answer to an order. An order without an
// answer is cleared up by the upstream's next report.
func (a *ApplyReports) applyOrderResult(t *Tables, msg lentilmux.RangeOrderResultMsg, now time.Time) {
	row := t.Upstreams.Find(msg.Upstream)
	if row == nil || !row.HasTarget || row.Target != msg.Order.Layers {
		return
	}
	switch {
	case msg.Err != nil:
		t.RecordDecision(lentilmux.Decision{What: "order_unanswered", Subject: row.ID, Reason: msg.Err.Error()})
	case !msg.Accepted:
		// The upstream's state differs from what the order expected: fetch a
		// report before the next order.
		row.HasTarget, row.StateUnknown, row.OrderRefusedAt = false, true, now
		row.ProbedAt = now
		t.AddEffect(lentilmux.FetchReportEffect{Upstream: row.ID, Addr: row.Addr})
		t.RecordDecision(lentilmux.Decision{What: "order_refused", Subject: row.ID, Reason: fmt.Sprintf("order expected %d accepted orders", msg.Order.ExpectedOrders)})
	default:
		row.AcceptedOrders = msg.Order.ExpectedOrders + 1
	}
}
