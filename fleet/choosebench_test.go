package fleet_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
)

// BenchmarkArrival measures the tick of an arrival, which selects a path, and that of
// its end, by the number of upstreams.
func BenchmarkArrival(b *testing.B) {
	for _, count := range []int{90, 2400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			model := fleet.New(fleet.Self{Name: "entry-1", Zone: "zone-0", Addr: vmAddr("entry-1"), Incarnation: 1, Started: now}, fleet.DefaultLimits())
			rules := testRuleset(map[string]string{"version": "1", "keys": "k1"})
			rules.Services[0].Engine.Accelerators[0].MemoryBytes = 1 << 20
			updates := lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamUpstreams, AsOf: now, AllKeys: true}
			for i := range count {
				record := upstreamRecord(fmt.Sprintf("u%d", i), map[string]string{"accelerator": "large", "zone": fmt.Sprintf("zone-%d", i%3), "layers": []string{"0-3", "4-7"}[i/3%2]})
				record.Slots, record.Addr = 200, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 80)
				updates.Updates = append(updates.Updates, lentilmux.StreamUpdate{Key: record.ID, Offset: uint64(i), Upstream: record})
			}
			model.Tick(now, []lentilmux.Envelope{{Msg: lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamRules, AsOf: now, Updates: []lentilmux.StreamUpdate{{Key: "config", Offset: 1, Rules: rules}}}}, {Msg: updates}})
			arrive := func(i int) {
				inbound := inboundRequest(fmt.Sprintf("r%d", i), map[string]string{"path": "/llm/x", "key": "k1", "prompt": "400"}, now)
				model.Tick(now, []lentilmux.Envelope{{Msg: lentilmux.ForwardMsg{Inbound: inbound}, CorrelationID: 1}})
				model.Tick(now, []lentilmux.Envelope{{Msg: lentilmux.ForwardDoneMsg{
					Request: inbound.ID, Outcome: lentilmux.OutcomeAnswered, Status: 200, Events: 20 + i%20, Duration: time.Second, TimeToFirstByte: 20 * time.Millisecond, WaitedForFirst: 20 * time.Millisecond,
				}}})
			}
			for i := range 400 {
				arrive(i) // so that answers and speeds are learned
			}
			b.ReportAllocs()
			i := 400
			for b.Loop() {
				arrive(i)
				i++
			}
		})
	}
}
