package peer

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilmux.example/lentilmux"
)

// FuzzLoadDigest guards against datagrams that end the process or give numbers that
// the tables cannot take.
func FuzzLoadDigest(f *testing.F) {
	digest := lentilmux.LoadDigest{
		VM: "entry-1", Zone: "kochi", Addr: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1, Sequence: 2, Suspects: []string{"w1"}, VMCount: 3, Slices: 4, Slice: 1,
		Loads:       []lentilmux.UpstreamLoad{{Upstream: 7, Streams: 1, PendingPromptTokens: 2, Reserved: 3000, Slowdown: 1}},
		RetryCounts: []lentilmux.RetryCounts{{Service: "s", Requests: 2, Retries: 1}},
		Parts:       []lentilmux.PartSuspicion{{Part: 1, Round: 3, Held: true, Age: time.Second, Crashes: []lentilmux.CrashID{1, 2}}},
		Limits:      []lentilmux.UpstreamLimit{{Upstream: 7, Named: true, PerSecond: 2.5, Age: time.Second}},
	}
	data, err := proto.Marshal(loadDigestToProto(digest))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("\x0a\x01v\x1a\x0a10.0.0.1:1\x58\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		digest, err := loadDigestFromProto(data)
		if err != nil {
			return
		}
		if digest.VM == "" || !digest.Addr.IsValid() || digest.Slices < 0 || digest.Slice < 0 {
			t.Fatalf("digest %+v", digest)
		}
		for _, load := range digest.Loads {
			if load.Streams < 0 || load.PendingPromptTokens < 0 || load.Reserved < 0 || !(load.Slowdown >= 0) {
				t.Fatalf("load %+v", load)
			}
		}
		for _, limit := range digest.Limits {
			if !(limit.PerSecond >= 0) || limit.Age < 0 || limit.Age > maxAge {
				t.Fatalf("limit %+v", limit)
			}
		}
		for _, part := range digest.Parts {
			if len(part.Crashes) > lentilmux.MaxCrashIDs || part.Age < 0 || part.Age > maxAge {
				t.Fatalf("part %+v", part)
			}
		}
		if _, err := proto.Marshal(loadDigestToProto(digest)); err != nil {
			t.Fatalf("the digest cannot be sent on: %v", err)
		}
	})
}
