package fleet_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
)

// TestZonesOfGoneUpstreams guards against memory that grows without end, and work
// for each zone ever seen, as another writer leaves entries with ever new zones.
func TestZonesOfGoneUpstreams(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	model := fleet.New(fleet.Self{Name: "entry-1", Zone: "kochi", Started: now}, fleet.DefaultLimits())
	offset := uint64(0)
	write := func(id, zone string) {
		offset++
		record := &lentilmux.UpstreamRecord{ID: id, Service: "s", Zone: zone, Slots: 1, Addr: netip.MustParseAddrPort("10.0.0.1:80"), StartedAt: now}
		now = now.Add(time.Millisecond)
		model.Tick(now, []lentilmux.Envelope{{Msg: lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamUpstreams, AsOf: now, Updates: []lentilmux.StreamUpdate{{Key: id, Offset: offset, Upstream: record}}}}})
	}
	write("sound", "thrissur")
	for i := range 1000 {
		write("odd", fmt.Sprintf("zone-%d", i))
		if count := model.Tables().Zones.Count(); count > 100 {
			t.Fatalf("%d zones are known after %d writes; three are in use", count, i+1)
		}
	}
}
