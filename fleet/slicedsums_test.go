package fleet_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
)

// TestSlicedSums passes the digests of a relay with many busy upstreams to a VM of
// its zone. The pattern is control traffic that grows as VMs times upstreams: a
// digest must stay small, and the VM must still learn the load of every upstream
// within a few rounds, and that it has ended.
func TestSlicedSums(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	newVM := func(name string) *fleet.Schedule {
		return fleet.New(fleet.Self{Name: name, Zone: "kochi", Addr: vmAddr(name), Incarnation: 1, Started: start}, fleet.DefaultLimits())
	}
	relay, member := newVM("entry-10"), newVM("entry-9") // relays have the lowest names
	const upstreams = 2400
	loads := make([]lentilmux.UpstreamLoad, upstreams)
	updates := lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamUpstreams, AsOf: start}
	for i := range loads {
		id := fmt.Sprintf("worker-%d", i)
		loads[i] = lentilmux.UpstreamLoad{Upstream: lentilmux.HashUpstream(id), Streams: 1 + i%7}
		record := &lentilmux.UpstreamRecord{ID: id, Service: "desk-llm", Zone: fmt.Sprintf("zone-%d", i%5), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 80)}
		if i%5 == 0 {
			record.Zone = "kochi"
		}
		updates.Updates = append(updates.Updates, lentilmux.StreamUpdate{Key: id, Offset: uint64(i), Upstream: record})
	}
	for _, vm := range []*fleet.Schedule{relay, member} {
		vm.Tick(start, []lentilmux.Envelope{{Msg: updates}, {Msg: peerRecords(start)}})
	}
	busy := lentilmux.LoadDigest{VM: "entry-3", VMCount: 1, Zone: "kochi", Addr: vmAddr("entry-3"), Incarnation: 1, Loads: loads}
	for round := range 40 {
		now := start.Add(time.Duration(round) * fleet.DefaultLimits().RelayDigestInterval)
		busy.Sequence++
		if round == 20 {
			busy.Loads = nil
		}
		effects, _ := relay.Tick(now, []lentilmux.Envelope{{Msg: lentilmux.LoadDigestMsg{Digest: busy}}})
		for _, effect := range effects {
			if x, ok := effect.(lentilmux.LoadDigestEffect); ok && x.Digest.Scope == lentilmux.ScopeFleet {
				if len(x.Digest.Loads) > upstreams/3 {
					t.Fatalf("a digest lists %d upstreams", len(x.Digest.Loads))
				}
				member.Tick(now, []lentilmux.Envelope{{Msg: lentilmux.LoadDigestMsg{Digest: x.Digest}}})
			}
		}
		if round == 15 || round == 35 {
			checkLoads(t, member, loads, round < 20)
		}
	}
}

// peerRecords returns the records of enough VMs for relays to be used.
func peerRecords(asOf time.Time) lentilmux.StreamUpdatesMsg {
	msg := lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamVMs, AsOf: asOf}
	for i := 2; i < 30; i++ {
		name := fmt.Sprintf("entry-%d", i)
		msg.Updates = append(msg.Updates, lentilmux.StreamUpdate{Key: name, Offset: uint64(i), VM: &lentilmux.VMRecord{Name: name, Zone: "kochi", Addr: vmAddr(name)}})
	}
	return msg
}

// checkLoads checks the peers' streams that a VM counts at each upstream.
func checkLoads(t *testing.T, vm *fleet.Schedule, loads []lentilmux.UpstreamLoad, busy bool) {
	t.Helper()
	for _, load := range loads {
		want := 0
		if busy {
			want = load.Streams
		}
		if row := vm.Tables().Upstreams.FindByHash(load.Upstream); row == nil || row.PeerLoad.Streams != want {
			t.Fatalf("the VM counts %+v at an upstream, want %d streams", load, want)
		}
	}
}
