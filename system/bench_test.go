package system_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/system"
	"lentilmux.example/lentilmux/table"
)

// fleet is the size of a deployment, as counts of VMs, upstreams and
// workspaces.
type fleet struct {
	vms, upstreams, workspaces int
}

// fleetSizes are the sizes of a deployment today, at an intermediate point and
// as planned in two years.
var fleetSizes = []fleet{{6, 33, 10}, {60, 400, 600}, {390, 2400, 4100}}

const (
	fleetModels = 10
	fleetLayers = 32
)

func (f fleet) String() string {
	return fmt.Sprintf("vms=%d/upstreams=%d/workspaces=%d", f.vms, f.upstreams, f.workspaces)
}

// node is a schedule whose tables hold a fleet.
type node struct {
	tables   *table.Tables
	schedule *system.Schedule
	now      time.Time
	offset   uint64
}

// newNode returns a node that has the fleet's configuration in force, has
// digests of all peers and can assign routes.
func newNode(f fleet) *node {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tables := table.New(table.Self{Name: "entry-0", Zone: "zone-0", Incarnation: "one", StartedAt: start})
	n := &node{tables: tables, schedule: system.New(tables), now: start}
	n.tick(lentilmux.CallPageMsg{})
	page := lentilmux.ConfigPageMsg{}
	add := func(c lentilmux.Command) {
		c.Verb, c.Create = lentilmux.VerbSet, true
		record := lentilmux.ConfigRecord{ID: fmt.Sprint("c", n.offset), Command: &c}
		page.Entries = append(page.Entries, lentilmux.ConfigEntry{Offset: n.offset, Record: record})
		n.offset++
		page.End = n.offset
	}
	members := make([][]string, fleetModels)
	for i := range f.upstreams {
		name := fmt.Sprintf("worker-%d", i)
		members[i%fleetModels] = append(members[i%fleetModels], name)
		add(lentilmux.Command{Entity: lentilmux.EntityUpstream, Name: name, Upstream: &lentilmux.UpstreamSpec{
			Name: name, Kind: lentilmux.KindEngine, Addr: netip.MustParseAddrPort("127.0.0.1:9000"), Zone: fmt.Sprintf("zone-%d", i%9),
			MaxLayers: 16 + 8*(i%3), LayerStepsPerSecond: 1000 + 500*(i%7), Slots: 64,
		}})
	}
	var uses []string
	for m := range fleetModels {
		if len(members[m]) < 3 {
			continue
		}
		name := fmt.Sprintf("pipeline-%d", m)
		uses = append(uses, name)
		add(lentilmux.Command{Entity: lentilmux.EntityPipeline, Name: name, Pipeline: &lentilmux.PipelineSpec{
			Name: name, Model: fmt.Sprintf("model-%d", m), Layers: fleetLayers, Upstreams: members[m],
		}})
	}
	for w := range f.workspaces {
		name := fmt.Sprintf("workspace-%d", w)
		add(lentilmux.Command{Entity: lentilmux.EntityWorkspace, Name: name, Workspace: &lentilmux.WorkspaceSpec{
			Name: name, Share: 1 / float64(f.workspaces), Priority: w % 3, Uses: uses,
		}})
	}
	n.tick(page)
	n.reportLoads()
	for i := 1; i < f.vms; i++ {
		n.tick(lentilmux.DigestMsg{Digest: n.digest(i)})
	}
	return n
}

// digest returns the digest of peer i, with requests in flight at forty
// upstreams.
func (n *node) digest(i int) lentilmux.Digest {
	digest := lentilmux.Digest{VM: fmt.Sprintf("entry-%d", i), Addr: netip.MustParseAddrPort("127.0.0.1:7000"), Revision: n.tables.Self.Revision}
	for j := range 40 {
		digest.InFlight = append(digest.InFlight, lentilmux.UpstreamCount{Upstream: fmt.Sprintf("worker-%d", (i+j*7)%len(n.tables.Upstreams.Rows)), Count: 1})
		digest.Usage = append(digest.Usage, lentilmux.WorkspaceUsage{Workspace: fmt.Sprintf("workspace-%d", (i+j*11)%len(n.tables.Workspaces.Rows)), Running: 1})
	}
	return digest
}

// reportLoads reports for every engine that it holds the range of its order.
func (n *node) reportLoads() {
	for i := range n.tables.Upstreams.Rows {
		u := &n.tables.Upstreams.Rows[i]
		n.schedule.Tick(n.now, []lentilmux.Envelope{{Msg: lentilmux.LoadReportMsg{Upstream: u.Spec.Name, Report: lentilmux.LoadReport{
			HasLayers: u.Order.Model != "", Model: u.Order.Model, Layers: u.Order.Layers,
		}}}})
	}
	n.tick(lentilmux.ConfigPageMsg{End: n.offset})
}

func (n *node) tick(msg lentilmux.Msg) []lentilmux.Effect {
	n.now = n.now.Add(time.Millisecond)
	effects, _ := n.schedule.Tick(n.now, []lentilmux.Envelope{{Msg: msg, CorrelationID: 1}})
	return effects
}

// request returns the i-th request to the fleet.
func (n *node) request(i int) lentilmux.RequestMsg {
	return lentilmux.RequestMsg{Request: lentilmux.Request{
		ID: lentilmux.RequestID(fmt.Sprint("r", i)), Workspace: fmt.Sprintf("workspace-%d", i%len(n.tables.Workspaces.Rows)),
		Model: fmt.Sprintf("model-%d", i%3), Fingerprint: lentilmux.Fingerprint(i), MaxTokens: 100, Deadline: n.now.Add(time.Minute),
	}}
}

// BenchmarkIdleTick measures a tick without messages.
func BenchmarkIdleTick(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			n := newNode(size)
			b.ReportAllocs()
			for b.Loop() {
				n.now = n.now.Add(time.Microsecond)
				n.schedule.Tick(n.now, nil)
			}
		})
	}
}

// BenchmarkRequest measures the two ticks of a request: the one that assigns
// its route and the one that finishes it.
func BenchmarkRequest(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			n := newNode(size)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				msg := n.request(i)
				n.now = n.now.Add(time.Microsecond)
				n.schedule.Tick(n.now, []lentilmux.Envelope{{Msg: msg, CorrelationID: 1}})
				n.schedule.Tick(n.now, []lentilmux.Envelope{{Msg: lentilmux.RequestDoneMsg{Request: msg.Request.ID, Outcome: lentilmux.OutcomeAnswered}}})
			}
		})
	}
}

// BenchmarkBatch measures one request of a batch: 100 arrive in one tick and
// finish in the next.
func BenchmarkBatch(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			n := newNode(size)
			for i := 0; b.Loop(); i++ {
				var arrive, done []lentilmux.Envelope
				for j := range 100 {
					msg := n.request(i*100 + j)
					arrive = append(arrive, lentilmux.Envelope{Msg: msg, CorrelationID: 1})
					done = append(done, lentilmux.Envelope{Msg: lentilmux.RequestDoneMsg{Request: msg.Request.ID, Outcome: lentilmux.OutcomeAnswered}})
				}
				n.now = n.now.Add(time.Microsecond)
				n.schedule.Tick(n.now, arrive)
				n.schedule.Tick(n.now, done)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/100, "ns/request")
		})
	}
}

// BenchmarkDigest measures the processing of a peer's digest.
func BenchmarkDigest(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			n := newNode(size)
			digests := make([]lentilmux.Digest, size.vms-1)
			for i := range digests {
				digests[i] = n.digest(i + 1)
			}
			for i := 0; b.Loop(); i++ {
				n.now = n.now.Add(time.Microsecond)
				n.schedule.Tick(n.now, []lentilmux.Envelope{{Msg: lentilmux.DigestMsg{Digest: digests[i%len(digests)]}}})
			}
		})
	}
}

// BenchmarkCommand measures a configuration change with all that follows from
// it.
func BenchmarkCommand(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			n := newNode(size)
			spec := n.tables.Workspaces.Rows[0].Spec
			for b.Loop() {
				command := lentilmux.Command{Verb: lentilmux.VerbSet, Entity: lentilmux.EntityWorkspace, Name: spec.Name, Workspace: &spec}
				record := lentilmux.ConfigRecord{ID: fmt.Sprint("b", n.offset), Command: &command}
				n.offset++
				n.tick(lentilmux.ConfigPageMsg{End: n.offset, Entries: []lentilmux.ConfigEntry{{Offset: n.offset - 1, Record: record}}})
			}
		})
	}
}

// BenchmarkDecision measures the choice of a route through all stages.
func BenchmarkDecision(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			n := newNode(size)
			requests := make([]table.Request, 64)
			for i := range requests {
				requests[i] = table.Request{Request: n.request(i).Request, Target: fmt.Sprintf("pipeline-%d", i%3)}
				requests[i].Request.Prefix = lentilmux.Fingerprint(i * 7919)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if !n.schedule.Choose(&requests[i%len(requests)], n.now) {
					b.Fatal("no route")
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap size of the tables of a fleet, in bytes.
func BenchmarkMemory(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			n := newNode(size)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				n.schedule.Tick(n.now, nil)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes")
			runtime.KeepAlive(n)
		})
	}
}

// BenchmarkCalls measures the processing of an intent and its outcome, and
// reports the bytes that a stored key takes.
func BenchmarkCalls(b *testing.B) {
	for _, keys := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			n := newNode(fleetSizes[0])
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range keys {
				n.readCall(i)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for i := keys; b.Loop(); i++ {
				n.readCall(i)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(keys), "bytes/key")
			runtime.KeepAlive(n)
		})
	}
}

// readCall reads from the log the intent and the outcome of another VM's call.
func (n *node) readCall(i int) {
	key := fmt.Sprintf("call/workspace-1/0197%012d-7000-8000-000000000000", i)
	id := fmt.Sprintf("two-%d", i)
	next := n.tables.Streams.Calls.NextOffset
	n.schedule.Tick(n.now, []lentilmux.Envelope{{Msg: lentilmux.CallPageMsg{End: next + 2, Entries: []lentilmux.CallEntry{
		{Offset: next, At: n.now, Record: lentilmux.CallRecord{Kind: lentilmux.CallRecordIntent, ID: id, VM: "entry-2", Incarnation: "two", Key: key, CreatedAt: n.now}},
		{Offset: next + 1, At: n.now, Record: lentilmux.CallRecord{Kind: lentilmux.CallRecordOutcome, ID: id, VM: "entry-2", Key: key, Outcome: lentilmux.OutcomeAnswered, Status: 200, Body: []byte(`{"booked":true}`)}},
	}}}})
}
