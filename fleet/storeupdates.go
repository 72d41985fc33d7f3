package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// ApplyStoreUpdates applies new limits and the results of reads from the store:
// configuration, upstreams and entry VMs. It reads Events.Limits,
// Events.StreamUpdates and Events.StreamFailures and writes Limits, Streams,
// Rules, Upstreams, VMs and Zones.
type ApplyStoreUpdates struct{}

// Run implements [System].
func (a *ApplyStoreUpdates) Run(t *Tables, now time.Time) {
	if t.Events.Limits != nil {
		t.Limits = *t.Events.Limits
		t.RecordDecision(lentilmux.Decision{What: "limits_installed", Subject: t.Self.Name, Reason: "settings changed"})
	}
	for _, failed := range t.Events.StreamFailures {
		a.recordReadFailure(t, failed)
	}
	for _, msg := range t.Events.StreamUpdates {
		a.recordRead(t, msg, now)
		for _, update := range msg.Updates {
			a.applyUpdate(t, msg.Stream, update, now)
		}
		if msg.AllKeys && msg.Stream == lentilmux.StreamUpstreams {
			a.expireUnlisted(t, msg.Updates, now)
		}
	}
	a.removeExpired(t, now)
	t.forgetZones()
}

// recordReadFailure marks a stream as failing. It logs only the first of several
// consecutive failures.
func (a *ApplyStoreUpdates) recordReadFailure(t *Tables, failed lentilmux.StreamReadFailedMsg) {
	state := t.Streams.Find(failed.Stream)
	if state == nil || state.Failing {
		return
	}
	state.Failing = true
	t.RecordDecision(lentilmux.Decision{What: "store_unreachable", Subject: string(failed.Stream), Reason: failed.Err.Error()})
}

// recordRead marks a stream as read at msg.AsOf and logs a recovery.
func (a *ApplyStoreUpdates) recordRead(t *Tables, msg lentilmux.StreamUpdatesMsg, now time.Time) {
	state := t.Streams.Find(msg.Stream)
	if state == nil {
		return
	}
	if state.Failing {
		state.Failing, state.RecoveredAt = false, now
		t.RecordDecision(lentilmux.Decision{What: "store_reachable", Subject: string(msg.Stream), Reason: describeOutage(state, now)})
	}
	if msg.AsOf.After(state.AsOf) {
		state.AsOf = msg.AsOf
	}
}

// describeOutage returns for how long a stream could not be read.
func describeOutage(state *StreamState, now time.Time) string {
	if state.AsOf.IsZero() {
		return "no answer since the start"
	}
	return fmt.Sprintf("no answer for %s", now.Sub(state.AsOf).Round(time.Millisecond))
}

// applyUpdate applies one entry of a stream. Entries that could not be decoded
// are logged and skipped.
func (a *ApplyStoreUpdates) applyUpdate(t *Tables, stream lentilmux.Stream, update lentilmux.StreamUpdate, now time.Time) {
	switch {
	case update.DecodeError != "":
		t.RecordDecision(lentilmux.Decision{What: "entry_ignored", Subject: string(stream) + "/" + update.Key, Reason: update.DecodeError})
	case update.Rules != nil:
		a.installRules(t, update.Rules)
	case update.Upstream != nil:
		a.applyUpstream(t, *update.Upstream, update.Offset, now)
	case update.HeldPart != nil:
		t.applyHeldPart(*update.HeldPart, now)
	case update.VM != nil:
		if update.VM.Name != t.Self.Name {
			vm := t.VMs.GetOrCreate(update.VM.Name)
			vm.Zone, vm.Addr = update.VM.Zone, update.VM.Addr
			t.Zones.Index(update.VM.Zone)
		}
	case stream == lentilmux.StreamUpstreams:
		a.expireUpstream(t, update.Key, update.Offset, now)
	}
}

// installRules puts a configuration in force. A version that is not newer than
// the current one is ignored.
func (a *ApplyStoreUpdates) installRules(t *Tables, rules *lentilmux.Ruleset) {
	if t.Rules.Loaded && rules.Version <= t.Rules.Version {
		return
	}
	previous := t.Rules.Version
	t.Rules.install(rules)
	t.AddEffect(lentilmux.BodyLimitEffect{MaxBytes: rules.Limits.MaxBodyBytes})
	t.RecordDecision(lentilmux.Decision{
		What: "rules_installed", Subject: fmt.Sprint(rules.Version), Chosen: fmt.Sprintf("%d routes, %d workspaces", len(rules.Routes), len(rules.Workspaces)),
		Reason: fmt.Sprintf("previous version %d", previous),
	})
}

// applyUpstream applies an upstream's entry. If the start time shows a new
// process, the orders, suspicion, ejection and slowdown of the previous process
// are discarded.
func (a *ApplyStoreUpdates) applyUpstream(t *Tables, record lentilmux.UpstreamRecord, offset uint64, now time.Time) {
	row := t.Upstreams.Find(record.ID)
	if row != nil && offset < row.Offset {
		return
	}
	known := row != nil
	restarted := known && !row.StartedAt.Equal(record.StartedAt)
	startsDraining := record.Draining && (!known || !row.Draining)
	hadLayers, previousLayers := known && row.HasLayers, lentilmux.LayerRange{}
	if known {
		previousLayers = row.Layers
	}
	row = t.Upstreams.Upsert(record)
	row.Offset, row.ExpiresAt, row.EntryReadAt = offset, time.Time{}, now
	if !known {
		row.FirstSeenAt = now
	}
	if restarted {
		row.HasTarget, row.StateUnknown, row.AcceptedOrders, row.OrderedAt = false, false, 0, time.Time{}
		row.SuspectUntil, row.SuspectDuration, row.MissedProbes, row.Dead, row.Slowdown = time.Time{}, 0, 0, false, 1
		row.ConsecutiveFailures, row.EjectedUntil = 0, time.Time{}
		row.RequestLimit = RequestLimitState{SeenAt: now}
	}
	t.Zones.Index(row.Zone)
	switch {
	case !known || restarted:
		t.RecordDecision(lentilmux.Decision{What: "upstream_registered", Subject: row.ID, Chosen: row.Addr.String(), Reason: fmt.Sprintf("service %s zone %s accelerator %s", row.Service, row.Zone, row.Accelerator)})
	case startsDraining:
		t.RecordDecision(lentilmux.Decision{What: "upstream_leaving", Subject: row.ID, Reason: "drain announced"})
	case row.HasLayers != hadLayers || previousLayers != row.Layers:
		t.RecordDecision(lentilmux.Decision{What: "layers_registered", Subject: row.ID, Chosen: formatLayers(row.Layers, row.HasLayers), Reason: "store entry, previously " + formatLayers(previousLayers, hadLayers)})
	}
}

// expireUpstream handles a missing entry of an upstream. The offset is that of the
// deletion, or 0 if a listing lacks the entry. The expiry usually takes effect
// immediately. After the store became reachable again it is delayed until the end
// of StoreRecoveryGrace, since upstreams may still be writing their entries again.
func (a *ApplyStoreUpdates) expireUpstream(t *Tables, id string, offset uint64, now time.Time) {
	row := t.Upstreams.Find(id)
	if row == nil || !row.ExpiresAt.IsZero() || offset != 0 && offset < row.Offset {
		return
	}
	row.ExpiresAt = now
	reason := "store entry removed"
	if t.storeRecovering(now, t.Limits.StoreRecoveryGrace) {
		row.ExpiresAt = t.Streams.Upstreams.RecoveredAt.Add(t.Limits.StoreRecoveryGrace)
		reason = "store entry missing after a store outage"
	}
	t.RecordDecision(lentilmux.Decision{What: "upstream_expired", Subject: id, Reason: reason})
}

// expireUnlisted expires the upstreams that a complete listing of the stream
// does not contain.
func (a *ApplyStoreUpdates) expireUnlisted(t *Tables, updates []lentilmux.StreamUpdate, now time.Time) {
	listed := make(map[string]bool, len(updates))
	for _, update := range updates {
		listed[update.Key] = true
	}
	for _, row := range t.Upstreams.Rows {
		if !listed[row.ID] {
			a.expireUpstream(t, row.ID, 0, now)
		}
	}
}

// removeExpired removes the rows of upstreams whose expiry has taken effect.
func (a *ApplyStoreUpdates) removeExpired(t *Tables, now time.Time) {
	for i := len(t.Upstreams.Rows) - 1; i >= 0; i-- {
		row := t.Upstreams.Rows[i]
		if row.ExpiresAt.IsZero() {
			continue
		}
		if now.Before(row.ExpiresAt) {
			t.WakeAt(row.ExpiresAt)
			continue
		}
		t.Upstreams.Remove(row.ID)
	}
}

// ModelAndAccelerator returns the model that an upstream runs and its
// accelerator. The model is nil if the service has none, does not list the
// accelerator, or has fewer layers than the upstream claims to hold.
func (t *Tables) ModelAndAccelerator(row *UpstreamRow) (model *lentilmux.ModelProfile, accelerator lentilmux.Accelerator) {
	service := t.Rules.Service(row.Service)
	if service == nil || service.Engine == nil {
		return nil, lentilmux.Accelerator{}
	}
	accelerator, ok := service.Engine.Accelerator(row.Accelerator)
	if !ok || row.HasLayers && row.Layers.Last >= service.Engine.Layers {
		return nil, lentilmux.Accelerator{}
	}
	return service.Engine, accelerator
}
