package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// ApplyStoreUpdates applies new limits and the results of reads from the store:
// configuration, upstreams and entry VMs. It reads Events.Limits,
// Events.StreamUpdates, Events.StreamFailures and Events.StreamsBehind and writes
// Limits, Streams, Rules, Upstreams, Departures, PartSuspects, VMs, Zones, Self,
// PriorityShares and StreamDurations.
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
	for _, behind := range t.Events.StreamsBehind {
		a.recordBehind(t, behind, now)
	}
	for _, msg := range t.Events.StreamUpdates {
		a.applyRead(t, msg, now)
	}
	a.removeExpired(t, now)
	t.endDepartures(now)
	t.forgetPeers(now)
	t.forgetZones()
}

// applyRead applies the result of one read.
func (a *ApplyStoreUpdates) applyRead(t *Tables, msg lentilmux.StreamUpdatesMsg, now time.Time) {
	restored := a.recordRead(t, msg, now) && msg.AllKeys
	for _, update := range msg.Updates {
		position := lentilmux.LogPosition{Timeline: msg.Position.Timeline, Offset: update.Offset}
		a.applyUpdate(t, msg.Stream, update, position, restored, now)
	}
	switch {
	case msg.AllKeys && msg.Stream == lentilmux.StreamUpstreams:
		a.expireUnlisted(t, listedKeys(msg.Updates), now)
	case restored && msg.Stream == lentilmux.StreamVMs:
		listed := listedKeys(msg.Updates)
		t.Self.Unlisted = !listed[t.Self.Name]
		t.restoreHolds(listed)
	}
}

// listedKeys returns the keys of a listing.
func listedKeys(updates []lentilmux.StreamUpdate) (keys map[string]bool) {
	keys = make(map[string]bool, len(updates))
	for _, update := range updates {
		keys[update.Key] = true
	}
	return keys
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

// recordBehind logs that a read returned only part of what is new in a stream, which
// stays as old as it was.
func (a *ApplyStoreUpdates) recordBehind(t *Tables, behind lentilmux.StreamBehindMsg, now time.Time) {
	state := t.Streams.Find(behind.Stream)
	if state == nil {
		return
	}
	t.RecordDecision(lentilmux.Decision{
		What: "stream_behind", Subject: string(behind.Stream), Chosen: "list",
		Reason: fmt.Sprintf("read up to %s, the log ends at %d, age %dms", behind.Position, behind.End, now.Sub(state.AsOf).Milliseconds()),
	})
}

// recordRead marks a stream as read at msg.AsOf and logs a recovery and a restore. It
// reports whether the store was restored since the last read.
func (a *ApplyStoreUpdates) recordRead(t *Tables, msg lentilmux.StreamUpdatesMsg, now time.Time) (restored bool) {
	state := t.Streams.Find(msg.Stream)
	if state == nil {
		return false
	}
	if state.Failing {
		state.Failing, state.RecoveredAt = false, now
		t.RecordDecision(lentilmux.Decision{What: "store_reachable", Subject: string(msg.Stream), Chosen: msg.Position.String(), Reason: describeOutage(state, now)})
	}
	restored = a.recordTimeline(t, state, msg, now)
	if msg.AsOf.After(state.AsOf) {
		state.AsOf = msg.AsOf
	}
	return restored
}

// recordTimeline publishes the timeline of a stream when it is first known and when
// it rises, which shows that the store was restored from an earlier copy. It reports
// whether it was.
func (a *ApplyStoreUpdates) recordTimeline(t *Tables, state *StreamState, msg lentilmux.StreamUpdatesMsg, now time.Time) (restored bool) {
	known, rose := !state.AsOf.IsZero(), msg.Position.Timeline > state.Position.Timeline
	if known && rose {
		state.RecoveredAt = now
		t.RecordDecision(lentilmux.Decision{What: "store_restored", Subject: string(msg.Stream), Chosen: msg.Position.String(), Reason: "was read up to " + state.Position.String()})
	}
	if !known || rose {
		t.AddEffect(lentilmux.StreamTimelineEffect{Stream: msg.Stream, Timeline: msg.Position.Timeline})
	}
	state.Position = msg.Position
	return known && rose
}

// describeOutage returns for how long a stream could not be read.
func describeOutage(state *StreamState, now time.Time) string {
	if state.AsOf.IsZero() {
		return "no answer since the start"
	}
	return fmt.Sprintf("no answer for %s", now.Sub(state.AsOf).Round(time.Millisecond))
}

// applyUpdate applies one entry of a stream, which has the given position. Restored
// tells whether it is in the first listing after a restore of the store. Entries that
// could not be decoded are logged and skipped.
func (a *ApplyStoreUpdates) applyUpdate(t *Tables, stream lentilmux.Stream, update lentilmux.StreamUpdate, position lentilmux.LogPosition, restored bool, now time.Time) {
	switch {
	case update.DecodeError != "":
		t.RecordDecision(lentilmux.Decision{What: "entry_ignored", Subject: string(stream) + "/" + update.Key, Reason: update.DecodeError})
	case update.Rules != nil:
		a.installRules(t, update.Rules, now)
	case update.Upstream != nil:
		a.applyUpstream(t, upstreamRead{record: *update.Upstream, position: position, restored: restored}, now)
	case update.HeldPart != nil:
		t.applyHeldPart(*update.HeldPart, now)
	case update.VM != nil:
		if update.VM.Name != t.Self.Name {
			vm := t.VMs.GetOrCreate(update.VM.Name)
			vm.Zone, vm.Addr, vm.RecordedAt = update.VM.Zone, update.VM.Addr, now
			t.Zones.Index(update.VM.Zone)
		}
	case stream == lentilmux.StreamUpstreams:
		a.applyDeletion(t, update.Key, position, now)
	case stream == lentilmux.StreamVMs:
		t.applyHeldPartDeletion(update.Key)
	}
}

// installRules puts a configuration in force. A version that is not newer than
// the current one is ignored.
func (a *ApplyStoreUpdates) installRules(t *Tables, rules *lentilmux.Ruleset, now time.Time) {
	if t.Rules.Loaded && rules.Version <= t.Rules.Version {
		return
	}
	previous := t.Rules.Version
	invalidPriorities := t.Rules.install(rules)
	t.Rules.InstalledAt, t.NewRules = now, previous > 0
	t.AddEffect(lentilmux.BodyLimitEffect{MaxBytes: rules.Limits.MaxBodyBytes})
	t.AddEffect(lentilmux.RulesVersionEffect{Version: rules.Version})
	t.RecordDecision(lentilmux.Decision{
		What: "rules_installed", Subject: fmt.Sprint(rules.Version), Chosen: fmt.Sprintf("%d routes, %d workspaces", len(rules.Routes), len(rules.Workspaces)),
		Reason: fmt.Sprintf("previous version %d", previous),
	})
	t.recordInvalidPriorities(invalidPriorities)
	t.forgetServices()
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
