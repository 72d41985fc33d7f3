package fleet

import (
	"fmt"
	"time"

	"lentilmux.example/lentilmux"
)

// Learn takes in new limits and what reads of the store told: configuration,
// upstreams and entry VMs. It reads Events.Limits, Events.Knowledge and
// Events.Unheard and writes Limits, Knowledge, Rules, Members, VMs and Zones.
type Learn struct{}

// Run implements [System].
func (l *Learn) Run(t *Tables, now time.Time) {
	if t.Events.Limits != nil {
		t.Limits = *t.Events.Limits
		t.Decide(lentilmux.Decision{What: "limits_installed", Subject: t.Self.Name, Reason: "settings changed"})
	}
	for _, failed := range t.Events.Unheard {
		l.fail(t, failed)
	}
	for _, msg := range t.Events.Knowledge {
		l.refresh(t, msg, now)
		for _, fact := range msg.Facts {
			l.take(t, msg.Stream, fact, now)
		}
		if msg.Whole && msg.Stream == lentilmux.StreamMembers {
			l.miss(t, msg.Facts, now)
		}
	}
	l.drop(t, now)
}

// fail notes that the store did not answer.
func (l *Learn) fail(t *Tables, failed lentilmux.KnowledgeFailedMsg) {
	f := t.Knowledge.Of(failed.Stream)
	if f == nil || f.Failing {
		return
	}
	f.Failing = true
	t.Decide(lentilmux.Decision{What: "store_lost", Subject: string(failed.Stream), Reason: failed.Err.Error()})
}

// refresh makes a stream's knowledge as new as the read that told it.
func (l *Learn) refresh(t *Tables, msg lentilmux.KnowledgeMsg, now time.Time) {
	f := t.Knowledge.Of(msg.Stream)
	if f == nil {
		return
	}
	if f.Failing {
		f.Failing, f.Recovered = false, now
		t.Decide(lentilmux.Decision{What: "store_regained", Subject: string(msg.Stream), Reason: fmt.Sprintf("unheard for %s", now.Sub(f.AsOf).Round(time.Millisecond))})
	}
	if msg.AsOf.After(f.AsOf) {
		f.AsOf = msg.AsOf
	}
}

// take applies one fact.
func (l *Learn) take(t *Tables, stream lentilmux.Stream, fact lentilmux.Fact, now time.Time) {
	switch {
	case fact.Bad != "":
		t.Decide(lentilmux.Decision{What: "entry_ignored", Subject: string(stream) + "/" + fact.Key, Reason: fact.Bad})
	case fact.Rules != nil:
		l.rules(t, fact.Rules)
	case fact.Member != nil:
		l.member(t, *fact.Member, fact.Offset, now)
	case fact.VM != nil:
		if fact.VM.Name != t.Self.Name {
			vm := t.VMs.Put(fact.VM.Name)
			vm.Zone, vm.Addr = fact.VM.Zone, fact.VM.Addr
			t.Zones.Index(fact.VM.Zone)
		}
	case stream == lentilmux.StreamMembers:
		l.lapse(t, fact.Key, fact.Offset, now)
	}
}

// rules puts a newer configuration in force; an older one is ignored.
func (l *Learn) rules(t *Tables, rules *lentilmux.Ruleset) {
	if t.Rules.Known && rules.Version <= t.Rules.Version {
		return
	}
	from := t.Rules.Version
	t.Rules.install(rules)
	t.Add(lentilmux.BodyLimitEffect{Most: rules.Limits.BodyMost})
	t.Decide(lentilmux.Decision{
		What: "rules_installed", Subject: fmt.Sprint(rules.Version), Chosen: fmt.Sprintf("%d routes, %d workspaces", len(rules.Routes), len(rules.Workspaces)),
		Reason: fmt.Sprintf("newer than %d", from),
	})
}

// member takes an upstream's entry. One whose process is new knows nothing of
// what the one before held.
func (l *Learn) member(t *Tables, member lentilmux.Member, offset uint64, now time.Time) {
	row := t.Members.Find(member.ID)
	if row != nil && offset < row.Offset {
		return
	}
	known := row != nil
	restarted := known && !row.Born.Equal(member.Born)
	leaving := member.Draining && (!known || !row.Draining)
	held, layers := known && row.Held, lentilmux.LayerRange{}
	if known {
		layers = row.Holds
	}
	row = t.Members.Put(member)
	row.Offset, row.GoneAt, row.EntryAt = offset, time.Time{}, now
	if !known {
		row.Seen = now
	}
	if restarted {
		row.Targeted, row.Unclear, row.Orders, row.OrderedAt = false, false, 0, time.Time{}
		row.SuspectUntil, row.SuspectFor, row.Misses, row.Dead, row.Slow = time.Time{}, 0, 0, false, 1
		row.Breaks, row.ShunUntil = 0, time.Time{}
	}
	t.Zones.Index(row.Zone)
	switch {
	case !known || restarted:
		t.Decide(lentilmux.Decision{What: "upstream_met", Subject: row.ID, Chosen: row.Addr.String(), Reason: fmt.Sprintf("service %s zone %s card %s", row.Service, row.Zone, row.Card)})
	case leaving:
		t.Decide(lentilmux.Decision{What: "upstream_leaving", Subject: row.ID, Reason: "announced"})
	case row.Held != held || layers != row.Holds:
		t.Decide(lentilmux.Decision{What: "layers_held", Subject: row.ID, Chosen: layersText(row.Holds, row.Held), Reason: "entry, was " + layersText(layers, held)})
	}
}

// lapse notes that an upstream's entry is missing. Shortly after the store came
// back the upstream may still write it again.
func (l *Learn) lapse(t *Tables, id string, offset uint64, now time.Time) {
	row := t.Members.Find(id)
	if row == nil || !row.GoneAt.IsZero() || offset != 0 && offset < row.Offset {
		return
	}
	row.GoneAt = now
	reason := "entry removed"
	if settled := t.Knowledge.Members.Recovered.Add(t.Limits.SettleAfter); !t.Knowledge.Members.Recovered.IsZero() && now.Before(settled) {
		row.GoneAt = settled
		reason = "entry missing since the store was away"
	}
	t.Decide(lentilmux.Decision{What: "upstream_lapsed", Subject: id, Reason: reason})
}

// miss lapses the upstreams that a whole listing lacks.
func (l *Learn) miss(t *Tables, facts []lentilmux.Fact, now time.Time) {
	listed := make(map[string]bool, len(facts))
	for _, fact := range facts {
		listed[fact.Key] = true
	}
	for _, row := range t.Members.Rows {
		if !listed[row.ID] {
			l.lapse(t, row.ID, 0, now)
		}
	}
}

// drop removes upstreams that are gone.
func (l *Learn) drop(t *Tables, now time.Time) {
	for i := len(t.Members.Rows) - 1; i >= 0; i-- {
		row := t.Members.Rows[i]
		if row.GoneAt.IsZero() {
			continue
		}
		if now.Before(row.GoneAt) {
			t.WakeAt(row.GoneAt)
			continue
		}
		t.Members.Remove(row.ID)
	}
}

// Engine returns the model that an upstream runs with its card, or nil.
func (t *Tables) Engine(row *MemberRow) (model *lentilmux.EngineModel, card lentilmux.Card) {
	service := t.Rules.Service(row.Service)
	if service == nil || service.Engine == nil {
		return nil, lentilmux.Card{}
	}
	card, ok := service.Engine.Card(row.Card)
	if !ok {
		return nil, lentilmux.Card{}
	}
	return service.Engine, card
}
