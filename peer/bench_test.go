package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilmux.example/lentilmux"
)

// BenchmarkDigestBytes measures encoding a digest and reports its size, by the
// number of upstreams and workspaces with requests in flight.
func BenchmarkDigestBytes(b *testing.B) {
	for _, count := range []int{0, 10, 40, 160} {
		b.Run(fmt.Sprintf("busy=%d", count), func(b *testing.B) {
			digest := lentilmux.Digest{VM: "entry-123", Zone: "region-1-zone-2", Addr: netip.MustParseAddrPort("192.0.2.1:7080"), Incarnation: "0197f3a0-0000-7000-8000-000000000000", Revision: 123456, NextCallOffset: 123456789}
			for i := range count {
				digest.InFlight = append(digest.InFlight, lentilmux.UpstreamCount{Upstream: fmt.Sprintf("worker-%04d", i), Count: 3})
				digest.Usage = append(digest.Usage, lentilmux.WorkspaceUsage{Workspace: fmt.Sprintf("workspace-%04d", i), Running: 2, Queued: 1})
			}
			var data []byte
			for b.Loop() {
				var err error
				if data, err = proto.Marshal(digestToProto(digest)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes/digest")
		})
	}
}

// BenchmarkLoadDigestBytes measures encoding and decoding a load digest and
// reports its size, by the number of upstreams that it lists.
func BenchmarkLoadDigestBytes(b *testing.B) {
	for _, count := range []int{0, 40, 190, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", count), func(b *testing.B) {
			digest := lentilmux.LoadDigest{VM: "entry-123", VMCount: 57, Zone: "region-1-zone-2", Addr: netip.MustParseAddrPort("192.0.2.1:7080"), Incarnation: 1 << 60, Sequence: 1 << 20}
			for i := range count {
				digest.Loads = append(digest.Loads, lentilmux.UpstreamLoad{
					Upstream: lentilmux.HashUpstream(fmt.Sprintf("worker-%04d", i)), Streams: 60, PendingPromptTokens: 3000, Reserved: 800_000, Slowdown: 1, WorkLeft: 2 * time.Minute, WorkKnown: true, Speed: lentilmux.UpstreamSpeed{Step: 1.5, Prefill: 1.25, Pauses: 0.01, Weight: 300},
				})
			}
			var data []byte
			for b.Loop() {
				var err error
				if data, err = proto.Marshal(loadDigestToProto(digest)); err != nil {
					b.Fatal(err)
				}
				if _, err = loadDigestFromProto(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes/digest")
		})
	}
}

// BenchmarkDrainDigestBytes measures encoding and decoding a load digest and
// reports its size, by the number of announced drains that it lists.
func BenchmarkDrainDigestBytes(b *testing.B) {
	for _, count := range []int{0, 10, 512} {
		b.Run(fmt.Sprintf("drains=%d", count), func(b *testing.B) {
			digest := lentilmux.LoadDigest{VM: "entry-123", VMCount: 57, Zone: "region-1-zone-2", Addr: netip.MustParseAddrPort("192.0.2.1:7080"), Incarnation: 1 << 60, Sequence: 1 << 20}
			for i := range count {
				digest.Drains = append(digest.Drains, lentilmux.UpstreamDrain{
					Upstream: lentilmux.HashUpstream(fmt.Sprintf("worker-%04d", i)), StartedAt: time.UnixMilli(1_790_000_000_000 + int64(i)), Age: 20 * time.Second,
				})
			}
			var data []byte
			for b.Loop() {
				var err error
				if data, err = proto.Marshal(loadDigestToProto(digest)); err != nil {
					b.Fatal(err)
				}
				if _, err = loadDigestFromProto(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes/digest")
		})
	}
}
