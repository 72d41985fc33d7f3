package peer

import (
	"context"
	"math"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer/peerpb"
)

// maxDatagramBytes is the size of the largest load digest that can be received.
const maxDatagramBytes = 60 << 10

// LoadDigestConn sends and receives load digests over UDP. Each digest is
// complete, so that a lost one need not be sent again.
type LoadDigestConn struct {
	conn *net.UDPConn
}

// ListenLoadDigests opens a UDP socket at addr that sends and receives load
// digests.
func ListenLoadDigests(addr netip.AddrPort) (l *LoadDigestConn, err error) {
	defer errors.DeferredAnnotatef(&err, "listening for load digests")
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return &LoadDigestConn{conn: conn}, nil
}

// Addr returns the local address of the socket.
func (l *LoadDigestConn) Addr() netip.AddrPort {
	return l.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close closes the socket, for sending and receiving.
func (l *LoadDigestConn) Close() (err error) { return l.conn.Close() }

// Send sends a digest to all given peers, also if sending to one of them fails. It
// returns the last error.
func (l *LoadDigestConn) Send(digest lentilmux.LoadDigest, to []netip.AddrPort) (err error) {
	defer errors.DeferredAnnotatef(&err, "sending load digest")
	data, err := proto.Marshal(loadDigestToProto(digest))
	if err != nil {
		return err
	}
	for _, addr := range to {
		if _, sendErr := l.conn.WriteToUDPAddrPort(data, addr); sendErr != nil {
			err = sendErr
		}
	}
	return err
}

// Run sends received digests to the node until ctx ends, and then closes the
// socket. It calls onError for failed reads and for datagrams that are not
// valid digests, and continues with the next one.
func (l *LoadDigestConn) Run(ctx context.Context, node lentilmux.NodeClient, onError func(from netip.AddrPort, err error)) {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() }) // unblocks the read below
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			onError(from, err)
			continue
		}
		digest, err := loadDigestFromProto(buffer[:count])
		if err != nil {
			onError(from, err)
			continue
		}
		if node.Send(ctx, lentilmux.LoadDigestMsg{Digest: digest}) != nil {
			return
		}
	}
}

// loadDigestToProto converts a load digest to its protobuf message.
func loadDigestToProto(digest lentilmux.LoadDigest) *peerpb.LoadDigest {
	message := &peerpb.LoadDigest{
		Vm: digest.VM, Zone: digest.Zone, Addr: digest.Addr.String(), Incarnation: digest.Incarnation, Sequence: digest.Sequence,
		Draining: digest.Draining, Stale: digest.Stale, Suspects: digest.Suspects, Scope: int32(digest.Scope), Vms: int32(digest.VMCount),
		Slices: uint32(digest.Slices), Slice: uint32(digest.Slice), Rules: uint64(digest.Rules),
	}
	message.Loads, message.AnswerCounts = loadsToProto(digest.Loads), answerCountsToProto(digest.Counts)
	for _, counts := range digest.RetryCounts {
		message.Sends = append(message.Sends, &peerpb.ServiceSends{Service: counts.Service, Requests: int32(counts.Requests), Repeats: int32(counts.Retries)})
	}
	for _, part := range digest.Parts {
		message.Parts = append(message.Parts, partToProto(part))
	}
	for _, limit := range digest.Limits {
		message.Limits = append(message.Limits, &peerpb.UpstreamLimit{
			Upstream: uint32(limit.Upstream), Named: limit.Named, PerSecond: limit.PerSecond, AgeMs: uint64(limit.Age.Milliseconds()),
		})
	}
	for _, drain := range digest.Drains {
		message.Drains = append(message.Drains, &peerpb.UpstreamDrain{Upstream: uint32(drain.Upstream), StartedAtMs: drain.StartedAt.UnixMilli(), AgeMs: uint64(drain.Age.Milliseconds())})
	}
	for _, backOff := range digest.BackOffs {
		message.BackOffs = append(message.BackOffs, &peerpb.UpstreamBackOff{Upstream: uint32(backOff.Upstream), RemainingMs: uint64(max(backOff.Remaining, 0).Milliseconds())})
	}
	message.Shortages, message.Refused = shortagesToProto(digest.Shortages), refusedToProto(digest.Refused)
	for _, vm := range digest.IsolatedVMs {
		message.IsolatedVms = append(message.IsolatedVms, uint32(vm))
	}
	return message
}

const (
	// reservedUnit is the unit of reserved KV cache in a digest, in tokens times
	// layers.
	reservedUnit = 1000
	// workUnit is the unit of work left in a digest. With it, the work of 192 streams of
	// five seconds takes two bytes.
	workUnit = 100 * time.Millisecond
	// slowdownUnit is the unit of a slowdown in a digest.
	slowdownUnit = 0.01
)

// loadsToProto converts the loads of a digest to columns.
func loadsToProto(loads []lentilmux.UpstreamLoad) (columns *peerpb.UpstreamLoads) {
	columns = &peerpb.UpstreamLoads{
		Upstream: make([]uint32, len(loads)), Streams: make([]uint32, len(loads)), Waiting: make([]uint32, len(loads)),
		ReservedThousands: make([]uint32, len(loads)), SlowPercent: make([]uint32, len(loads)),
	}
	for i, load := range loads {
		columns.Upstream[i], columns.Streams[i], columns.Waiting[i] = uint32(load.Upstream), uint32(load.Streams), uint32(load.PendingPromptTokens)
		columns.ReservedThousands[i] = uint32((load.Reserved + reservedUnit - 1) / reservedUnit)
		columns.SlowPercent[i] = uint32(math.Round(load.Slowdown / slowdownUnit))
	}
	columns.WorkTenths = workToProto(loads)
	speedsToProto(columns, loads)
	return columns
}

// workToProto returns the column of work left, or nil if it is unknown at all
// upstreams with streams.
func workToProto(loads []lentilmux.UpstreamLoad) (column []uint32) {
	column = make([]uint32, len(loads))
	anyKnown := false
	for i, load := range loads {
		if load.WorkKnown {
			column[i] = 1 + uint32(min((max(load.WorkLeft, 0)+workUnit/2)/workUnit, math.MaxUint32-1))
			anyKnown = anyKnown || load.Streams > 0
		}
	}
	if !anyKnown {
		return nil
	}
	return column
}

// loadsFromProto converts columns to the loads of a digest. It returns an error
// if the columns differ in length.
func loadsFromProto(columns *peerpb.UpstreamLoads) (loads []lentilmux.UpstreamLoad, err error) {
	upstreams, streams, waiting := columns.GetUpstream(), columns.GetStreams(), columns.GetWaiting()
	reserved, slow := columns.GetReservedThousands(), columns.GetSlowPercent()
	if count := len(upstreams); len(streams) != count || len(waiting) != count || len(reserved) != count || len(slow) != count {
		return nil, errors.Errorf("load digest has columns of different lengths; expected %d values in each", count)
	}
	work := columns.GetWorkTenths()
	if len(work) != 0 && len(work) != len(upstreams) {
		return nil, errors.Errorf("load digest has %d values of work left; expected %d", len(work), len(upstreams))
	}
	speeds, err := speedsFromProto(columns)
	if err != nil {
		return nil, err
	}
	for i, upstream := range upstreams {
		loads = append(loads, lentilmux.UpstreamLoad{
			Upstream: lentilmux.UpstreamHash(upstream), Streams: int(streams[i]), PendingPromptTokens: int(waiting[i]),
			Reserved: int64(reserved[i]) * reservedUnit, Slowdown: float64(slow[i]) * slowdownUnit,
		})
		if len(work) > 0 && work[i] > 0 {
			loads[i].WorkLeft, loads[i].WorkKnown = time.Duration(work[i]-1)*workUnit, true
		}
	}
	for i := range speeds {
		loads[i].Speed = speeds[i]
	}
	return loads, nil
}

// loadDigestFromProto decodes a load digest. It returns an error if data is not
// a protobuf message, or lacks the VM's name or a valid address.
func loadDigestFromProto(data []byte) (digest lentilmux.LoadDigest, err error) {
	defer errors.DeferredAnnotatef(&err, "decoding load digest")
	var message peerpb.LoadDigest
	if err := proto.Unmarshal(data, &message); err != nil {
		return digest, err
	}
	addr, err := netip.ParseAddrPort(message.GetAddr())
	if err != nil {
		return digest, err
	}
	if message.GetVm() == "" {
		return digest, errors.New("load digest has no VM name")
	}
	digest = lentilmux.LoadDigest{
		VM: message.GetVm(), Zone: message.GetZone(), Addr: addr, Incarnation: message.GetIncarnation(), Sequence: message.GetSequence(),
		Draining: message.GetDraining(), Stale: message.GetStale(), Suspects: message.GetSuspects(),
		Scope: lentilmux.DigestScope(message.GetScope()), VMCount: int(message.GetVms()),
		Slices: int(message.GetSlices()), Slice: int(message.GetSlice()), Rules: lentilmux.Revision(message.GetRules()),
	}
	if digest.Loads, err = loadsFromProto(message.GetLoads()); err != nil {
		return digest, err
	}
	for _, counts := range message.GetSends() {
		digest.RetryCounts = append(digest.RetryCounts, lentilmux.RetryCounts{Service: counts.GetService(), Requests: int(counts.GetRequests()), Retries: int(counts.GetRepeats())})
	}
	digest.Counts = answerCountsFromProto(message.GetAnswerCounts())
	digest.Parts = partsFromProto(message.GetParts())
	digest.Limits = limitsFromProto(message.GetLimits())
	for _, drain := range message.GetDrains() {
		digest.Drains = append(digest.Drains, lentilmux.UpstreamDrain{
			Upstream: lentilmux.UpstreamHash(drain.GetUpstream()), StartedAt: time.UnixMilli(drain.GetStartedAtMs()), Age: ageFromProto(drain.GetAgeMs()),
		})
	}
	for _, backOff := range message.GetBackOffs() {
		digest.BackOffs = append(digest.BackOffs, lentilmux.BackOffHint{Upstream: lentilmux.UpstreamHash(backOff.GetUpstream()), Remaining: ageFromProto(backOff.GetRemainingMs())})
	}
	digest.Shortages, digest.Refused = shortagesFromProto(message.GetShortages()), refusedFromProto(message.GetRefused())
	for _, vm := range message.GetIsolatedVms() {
		digest.IsolatedVMs = append(digest.IsolatedVMs, lentilmux.VMHash(vm))
	}
	return digest, nil
}

// maxAge bounds the ages in a digest, so that their decoding cannot overflow.
const maxAge = 24 * time.Hour

// ageFromProto converts an age in milliseconds.
func ageFromProto(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond
}

// limitsFromProto converts the limits of upstreams. It drops limits that are not
// finite, or negative.
func limitsFromProto(messages []*peerpb.UpstreamLimit) (limits []lentilmux.UpstreamLimit) {
	for _, message := range messages {
		if perSecond := message.GetPerSecond(); perSecond >= 0 && !math.IsInf(perSecond, 0) {
			limits = append(limits, lentilmux.UpstreamLimit{
				Upstream: lentilmux.UpstreamHash(message.GetUpstream()), Named: message.GetNamed(), PerSecond: perSecond, Age: ageFromProto(message.GetAgeMs()),
			})
		}
	}
	return limits
}

// partToProto converts a suspected prompt part to its protobuf message.
func partToProto(part lentilmux.PartSuspicion) *peerpb.PartSuspicion {
	message := &peerpb.PartSuspicion{
		Part: uint64(part.Part), Position: uint32(part.Position), Clears: uint32(part.Clears), Round: uint32(part.Round), Held: part.Held,
		AgeMs: uint64(part.Age.Milliseconds()), Own: part.Own,
	}
	for _, crash := range part.Crashes {
		message.Crashes = append(message.Crashes, uint32(crash))
	}
	return message
}

// partsFromProto converts the suspected prompt parts of a digest. Crashes beyond
// [lentilmux.MaxCrashIDs] are dropped.
func partsFromProto(parts []*peerpb.PartSuspicion) (suspicions []lentilmux.PartSuspicion) {
	for _, part := range parts {
		suspicion := lentilmux.PartSuspicion{
			Part: lentilmux.PromptPart(part.GetPart()), Position: int(part.GetPosition()), Clears: int(part.GetClears()), Round: int(part.GetRound()), Held: part.GetHeld(),
			Age: ageFromProto(part.GetAgeMs()), Own: part.GetOwn(),
		}
		crashes := part.GetCrashes()
		for _, crash := range crashes[:min(len(crashes), lentilmux.MaxCrashIDs)] {
			suspicion.Crashes = append(suspicion.Crashes, lentilmux.CrashID(crash))
		}
		suspicions = append(suspicions, suspicion)
	}
	return suspicions
}
