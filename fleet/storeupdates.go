package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// ApplyStoreUpdates takes in new limits and what reads of the store told: configuration,
// upstreams and entry VMs. It reads Events.Limits, Events.Knowledge and
// Events.Unheard and writes Limits, Knowledge, Rules, Members, VMs and Zones.
type ApplyStoreUpdates struct{}

// Run implements [System].
func (l *ApplyStoreUpdates) Run(t *Tables, now time.Time) {
	if t.Events.Limits != nil {
		t.Limits = *t.Events.Limits
		t.RecordDecision(lentilmux.Decision{What: "limits_installed", Subject: t.Self.Name, Reason: "settings changed"})
	}
	for _, failed := range t.Events.StreamFailures {
		l.fail(t, failed)
	}
	for _, msg := range t.Events.StreamUpdates {
		l.refresh(t, msg, now)
		for _, fact := range msg.Updates {
			l.take(t, msg.Stream, fact, now)
		}
		if msg.AllKeys && msg.Stream == lentilmux.StreamUpstreams {
			l.miss(t, msg.Updates, now)
		}
	}
	l.drop(t, now)
}

// fail notes that the store did not answer.
func (l *ApplyStoreUpdates) fail(t *Tables, failed lentilmux.StreamReadFailedMsg) {
	f := t.Streams.Find(failed.Stream)
	if f == nil || f.Failing {
		return
	}
	f.Failing = true
	t.RecordDecision(lentilmux.Decision{What: "store_lost", Subject: string(failed.Stream), Reason: failed.Err.Error()})
}

// refresh makes a stream's knowledge as new as the read that told it.
func (l *ApplyStoreUpdates) refresh(t *Tables, msg lentilmux.StreamUpdatesMsg, now time.Time) {
	f := t.Streams.Find(msg.Stream)
	if f == nil {
		return
	}
	if f.Failing {
		f.Failing, f.RecoveredAt = false, now
		t.RecordDecision(lentilmux.Decision{What: "store_regained", Subject: string(msg.Stream), Reason: fmt.Sprintf("unheard for %s", now.Sub(f.AsOf).Round(time.Millisecond))})
	}
	if msg.AsOf.After(f.AsOf) {
		f.AsOf = msg.AsOf
	}
}

// take applies one fact.
func (l *ApplyStoreUpdates) take(t *Tables, stream lentilmux.Stream, fact lentilmux.StreamUpdate, now time.Time) {
	switch {
	case fact.DecodeError != "":
		t.RecordDecision(lentilmux.Decision{What: "entry_ignored", Subject: string(stream) + "/" + fact.Key, Reason: fact.DecodeError})
	case fact.Rules != nil:
		l.rules(t, fact.Rules)
	case fact.Upstream != nil:
		l.member(t, *fact.Upstream, fact.Offset, now)
	case fact.VM != nil:
		if fact.VM.Name != t.Self.Name {
			vm := t.VMs.GetOrCreate(fact.VM.Name)
			vm.Zone, vm.Addr = fact.VM.Zone, fact.VM.Addr
			t.Zones.Index(fact.VM.Zone)
		}
	case stream == lentilmux.StreamUpstreams:
		l.lapse(t, fact.Key, fact.Offset, now)
	}
}

// rules puts a newer configuration in force; an older one is ignored.
func (l *ApplyStoreUpdates) rules(t *Tables, rules *lentilmux.Ruleset) {
	if t.Rules.Loaded && rules.Version <= t.Rules.Version {
		return
	}
	from := t.Rules.Version
	t.Rules.install(rules)
	t.AddEffect(lentilmux.BodyLimitEffect{MaxBytes: rules.Limits.MaxBodyBytes})
	t.RecordDecision(lentilmux.Decision{
		What: "rules_installed", Subject: fmt.Sprint(rules.Version), Chosen: fmt.Sprintf("%d routes, %d workspaces", len(rules.Routes), len(rules.Workspaces)),
		Reason: fmt.Sprintf("newer than %d", from),
	})
}

// member takes an upstream's entry. One whose process is new knows nothing of
// what the one before held.
func (l *ApplyStoreUpdates) member(t *Tables, member lentilmux.UpstreamRecord, offset uint64, now time.Time) {
	row := t.Upstreams.Find(member.ID)
	if row != nil && offset < row.Offset {
		return
	}
	known := row != nil
	restarted := known && !row.StartedAt.Equal(member.StartedAt)
	leaving := member.Draining && (!known || !row.Draining)
	held, layers := known && row.HasLayers, lentilmux.LayerRange{}
	if known {
		layers = row.Layers
	}
	row = t.Upstreams.Upsert(member)
	row.Offset, row.ExpiresAt, row.EntryReadAt = offset, time.Time{}, now
	if !known {
		row.FirstSeenAt = now
	}
	if restarted {
		row.HasTarget, row.StateUnknown, row.AcceptedOrders, row.OrderedAt = false, false, 0, time.Time{}
		row.SuspectUntil, row.SuspectDuration, row.MissedProbes, row.Dead, row.Slowdown = time.Time{}, 0, 0, false, 1
		row.ConsecutiveFailures, row.EjectedUntil = 0, time.Time{}
	}
	t.Zones.Index(row.Zone)
	switch {
	case !known || restarted:
		t.RecordDecision(lentilmux.Decision{What: "upstream_met", Subject: row.ID, Chosen: row.Addr.String(), Reason: fmt.Sprintf("service %s zone %s card %s", row.Service, row.Zone, row.Accelerator)})
	case leaving:
		t.RecordDecision(lentilmux.Decision{What: "upstream_leaving", Subject: row.ID, Reason: "announced"})
	case row.HasLayers != held || layers != row.Layers:
		t.RecordDecision(lentilmux.Decision{What: "layers_held", Subject: row.ID, Chosen: layersText(row.Layers, row.HasLayers), Reason: "entry, was " + layersText(layers, held)})
	}
}

// lapse notes that an upstream's entry is missing. Shortly after the store came
// back the upstream may still write it again.
func (l *ApplyStoreUpdates) lapse(t *Tables, id string, offset uint64, now time.Time) {
	row := t.Upstreams.Find(id)
	if row == nil || !row.ExpiresAt.IsZero() || offset != 0 && offset < row.Offset {
		return
	}
	row.ExpiresAt = now
	reason := "entry removed"
	if settled := t.Streams.Upstreams.RecoveredAt.Add(t.Limits.StoreRecoveryGrace); !t.Streams.Upstreams.RecoveredAt.IsZero() && now.Before(settled) {
		row.ExpiresAt = settled
		reason = "entry missing since the store was away"
	}
	t.RecordDecision(lentilmux.Decision{What: "upstream_lapsed", Subject: id, Reason: reason})
}

// miss lapses the upstreams that a whole listing lacks.
func (l *ApplyStoreUpdates) miss(t *Tables, facts []lentilmux.StreamUpdate, now time.Time) {
	listed := make(map[string]bool, len(facts))
	for _, fact := range facts {
		listed[fact.Key] = true
	}
	for _, row := range t.Upstreams.Rows {
		if !listed[row.ID] {
			l.lapse(t, row.ID, 0, now)
		}
	}
}

// drop removes upstreams that are gone.
func (l *ApplyStoreUpdates) drop(t *Tables, now time.Time) {
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

// Engine returns the model that an upstream runs with its card, or nil.
func (t *Tables) Engine(row *UpstreamRow) (model *lentilmux.ModelProfile, card lentilmux.Accelerator) {
	service := t.Rules.Service(row.Service)
	if service == nil || service.Engine == nil {
		return nil, lentilmux.Accelerator{}
	}
	card, ok := service.Engine.Accelerator(row.Accelerator)
	if !ok {
		return nil, lentilmux.Accelerator{}
	}
	return service.Engine, card
}
