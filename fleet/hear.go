package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// Hear takes in what other entry VMs and upstreams say. It reads Events.Digests,
// Events.Reports and Events.Placed and writes VMs and Members.
type Hear struct{}

// Run implements [System].
func (h *Hear) Run(t *Tables, now time.Time) {
	for _, digest := range t.Events.Digests {
		h.digest(t, digest, now)
	}
	lost := false
	for _, vm := range t.VMs.Rows {
		if len(vm.Loads) > 0 && !t.heard(vm, now) {
			vm.Loads = nil
			lost = true
			t.Decide(lentilmux.Decision{What: "vm_lost", Subject: vm.Name, Reason: fmt.Sprintf("silent for %s", now.Sub(vm.Heard).Round(time.Millisecond))})
		}
	}
	if lost || len(t.Events.Digests) > 0 {
		h.tally(t, now)
	}
	for _, msg := range t.Events.Reports {
		h.report(t, msg, now)
	}
	for _, msg := range t.Events.Placed {
		h.placed(t, msg, now)
	}
}

// digest replaces what is known of another VM's work, unless the digest is
// older than the last one.
func (h *Hear) digest(t *Tables, d lentilmux.LoadDigest, now time.Time) {
	if d.VM == t.Self.Name || d.VM == "" {
		return
	}
	vm := t.VMs.Put(d.VM)
	if vm.Incarnation == d.Incarnation && d.Sequence <= vm.Sequence || d.Incarnation < vm.Incarnation {
		return
	}
	if !t.heard(vm, now) {
		t.Decide(lentilmux.Decision{What: "vm_met", Subject: d.VM, Chosen: d.Addr.String(), Reason: "digest"})
	}
	vm.Incarnation, vm.Sequence, vm.Heard, vm.TriedAt = d.Incarnation, d.Sequence, now, time.Time{}
	vm.Zone, vm.Addr, vm.Draining, vm.Stale, vm.Sends = d.Zone, d.Addr, d.Draining, d.Stale, d.Sends
	t.Zones.Index(vm.Zone)
	if d.Scope == lentilmux.ScopeFleet {
		h.whole(t, d, now)
	} else {
		vm.Scope, vm.VMs, vm.Loads, vm.Suspects = d.Scope, d.VMs, d.Loads, d.Suspects
	}
	for _, id := range d.Suspects {
		if row := t.Members.Find(id); row != nil && !row.Dead {
			h.hearsay(t, row, d.VM, now)
		}
	}
}

// hearsay handles another VM's word that an upstream is dead. It is believed
// unless this VM saw progress or an answer of late.
func (h *Hear) hearsay(t *Tables, row *MemberRow, vm string, now time.Time) {
	if now.Sub(row.Pulse.Last()) < t.Limits.PulseSilence || now.Sub(row.ReportedAt) < t.Limits.AskAgain {
		return
	}
	row.Dead, row.Hearsay = true, true
	t.Decide(lentilmux.Decision{What: "upstream_dead", Subject: row.ID, Reason: "word of " + vm})
	t.suspect(row, now, "word of "+vm)
}

// whole takes a relay's sum of all VMs' work. Only one relay is listened to at a
// time.
func (h *Hear) whole(t *Tables, d lentilmux.LoadDigest, now time.Time) {
	if t.Whole.From < d.VM && t.Whole.fresh(now, t.Limits.SilentAfter) {
		return
	}
	t.Whole = Whole{From: d.VM, Heard: now, VMs: d.VMs, Loads: d.Loads, Sends: d.Sends}
}

// tally counts in the members' rows what other VMs have under way.
func (h *Hear) tally(t *Tables, now time.Time) {
	for _, row := range t.Members.Rows {
		row.Peers = Load{}
	}
	if t.relayed() && !t.isRelay(now) {
		h.add(t, t.Whole.Loads)
		for _, row := range t.Members.Rows {
			row.Peers.add(row.Own, -1) // the sum has this VM's own work in it
		}
		return
	}
	for _, vm := range t.sources(now) {
		h.add(t, vm.Loads)
	}
}

// add counts loads in the members' rows.
func (h *Hear) add(t *Tables, loads []lentilmux.UpstreamLoad) {
	for _, load := range loads {
		if row := t.Members.Find(load.Upstream); row != nil {
			row.Peers.add(loadOf(load), 1)
			if load.Slow > 0 {
				row.Slow = load.Slow
			}
		}
	}
}

func loadOf(load lentilmux.UpstreamLoad) Load {
	return Load{Streams: load.Streams, Waiting: load.Waiting, Reserved: load.Reserved}
}

// report takes an upstream's own word. One that answers is no longer suspect.
func (h *Hear) report(t *Tables, msg lentilmux.ReportMsg, now time.Time) {
	row := t.Members.Find(msg.Upstream)
	if row == nil {
		return
	}
	if msg.Err != nil {
		h.miss(t, row, msg.Err, now)
		return
	}
	r := msg.Report
	if !r.Born.IsZero() && !r.Born.Equal(row.Born) {
		h.replaced(t, row, r, now)
		return
	}
	row.Misses, row.Dead, row.Hearsay = 0, false, false
	if !row.SuspectUntil.IsZero() {
		row.SuspectUntil = time.Time{}
		t.Decide(lentilmux.Decision{What: "upstream_trusted", Subject: row.ID, Reason: "it reported"})
	}
	if r.Pace > 0 && (r.Pace > 1.2*row.Slow || row.Slow > 1.2*r.Pace) {
		t.Decide(lentilmux.Decision{What: "upstream_pace", Subject: row.ID, Chosen: fmt.Sprintf("%.2f", r.Pace), Reason: fmt.Sprintf("was %.2f", row.Slow)})
	}
	if r.Orders != row.Orders {
		row.RefusedAt = time.Time{} // what it expects is known now
	}
	row.Slow, row.ReportedAt, row.Orders, row.Unclear = max(r.Pace, 1), now, r.Orders, false
	h.layers(t, row, r, now)
	if row.Targeted && !r.Busy && (!r.Held || r.Holds != row.Target) && now.Sub(row.OrderedAt) > t.Limits.OrderTimeout {
		row.Targeted = false
	}
}

// replaced handles the report of another process than the one that the entry
// tells of: that one has ended, and its address serves an upstream whose entry
// is still to come.
func (h *Hear) replaced(t *Tables, row *MemberRow, r lentilmux.UpstreamReport, now time.Time) {
	if !row.Dead {
		row.Dead = true
		t.Decide(lentilmux.Decision{What: "upstream_dead", Subject: row.ID, Reason: fmt.Sprintf("a process of %s answers, not that of %s", r.Born.UTC().Format(time.RFC3339Nano), row.Born.UTC().Format(time.RFC3339Nano))})
	}
	t.suspect(row, now, "another process answers")
}

// layers takes the range that an upstream reports, unless its entry was renewed
// so short a time ago that the report may be older.
func (h *Hear) layers(t *Tables, row *MemberRow, r lentilmux.UpstreamReport, now time.Time) {
	if r.Held == row.Held && r.Holds == row.Holds || r.Busy || now.Sub(row.EntryAt) < t.Limits.ReportLag {
		return
	}
	t.Decide(lentilmux.Decision{
		What: "layers_reported", Subject: row.ID, Chosen: layersText(r.Holds, r.Held),
		Reason: fmt.Sprintf("was %s, orders=%d", layersText(row.Holds, row.Held), r.Orders),
	})
	row.Held, row.Holds = r.Held, r.Holds
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
func (h *Hear) miss(t *Tables, row *MemberRow, err error, now time.Time) {
	row.Misses++
	var step *lentilmux.StepError
	refused := errors.As(err, &step) && step.Kind == lentilmux.FailureDial && !errors.Is(err, context.DeadlineExceeded)
	if !refused && row.Misses < t.Limits.MissesMost {
		row.AskedAt = time.Time{}
		t.ask(row, now)
		return
	}
	row.Hearsay = false
	if !row.Dead {
		row.Dead = true
		t.Decide(lentilmux.Decision{What: "upstream_dead", Subject: row.ID, Reason: fmt.Sprintf("%d questions without an answer: %v", row.Misses, err)})
	}
	t.suspect(row, now, "no answer")
}

// placed takes the answer to an order.
func (h *Hear) placed(t *Tables, msg lentilmux.PlaceMsg, now time.Time) {
	row := t.Members.Find(msg.Upstream)
	if row == nil || !row.Targeted || row.Target != msg.Order.Layers {
		return
	}
	switch {
	case msg.Err != nil:
		t.Decide(lentilmux.Decision{What: "order_unanswered", Subject: row.ID, Reason: msg.Err.Error()})
	case !msg.Accepted:
		// Its state is not what was expected: ask it before anything else.
		row.Targeted, row.Unclear, row.RefusedAt = false, true, now
		row.AskedAt = now
		t.Add(lentilmux.ReportEffect{Upstream: row.ID, Addr: row.Addr})
		t.Decide(lentilmux.Decision{What: "order_refused", Subject: row.ID, Reason: fmt.Sprintf("expected %d orders before", msg.Order.Orders)})
	default:
		row.Orders = msg.Order.Orders + 1
	}
}
