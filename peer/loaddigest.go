package peer

import (
	"context"
	"net"
	"net/netip"

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

// Send sends a digest to peers. An error with one peer does not keep the digest
// from the others; Send returns the last error.
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
func loadDigestToProto(d lentilmux.LoadDigest) *peerpb.LoadDigest {
	m := &peerpb.LoadDigest{
		Vm: d.VM, Zone: d.Zone, Addr: d.Addr.String(), Incarnation: d.Incarnation, Sequence: d.Sequence,
		Draining: d.Draining, Stale: d.Stale, Suspects: d.Suspects, Scope: int32(d.Scope), Vms: int32(d.VMCount),
	}
	for _, l := range d.Loads {
		m.Loads = append(m.Loads, &peerpb.UpstreamLoad{
			Upstream: l.Upstream, Streams: int32(l.Streams), Waiting: int32(l.PendingPromptTokens), Reserved: l.Reserved, Slow: l.Slowdown,
		})
	}
	for _, s := range d.RetryCounts {
		m.Sends = append(m.Sends, &peerpb.ServiceSends{Service: s.Service, Requests: int32(s.Requests), Repeats: int32(s.Retries)})
	}
	return m
}

// loadDigestFromProto decodes a load digest. It returns an error if data is not
// a protobuf message, or lacks the VM's name or a valid address.
func loadDigestFromProto(data []byte) (d lentilmux.LoadDigest, err error) {
	defer errors.DeferredAnnotatef(&err, "decoding load digest")
	var m peerpb.LoadDigest
	if err := proto.Unmarshal(data, &m); err != nil {
		return d, err
	}
	addr, err := netip.ParseAddrPort(m.GetAddr())
	if err != nil {
		return d, err
	}
	if m.GetVm() == "" {
		return d, errors.New("load digest has no VM name")
	}
	d = lentilmux.LoadDigest{
		VM: m.GetVm(), Zone: m.GetZone(), Addr: addr, Incarnation: m.GetIncarnation(), Sequence: m.GetSequence(),
		Draining: m.GetDraining(), Stale: m.GetStale(), Suspects: m.GetSuspects(),
		Scope: lentilmux.DigestScope(m.GetScope()), VMCount: int(m.GetVms()),
	}
	for _, l := range m.GetLoads() {
		d.Loads = append(d.Loads, lentilmux.UpstreamLoad{
			Upstream: l.GetUpstream(), Streams: int(l.GetStreams()), PendingPromptTokens: int(l.GetWaiting()), Reserved: l.GetReserved(), Slowdown: l.GetSlow(),
		})
	}
	for _, s := range m.GetSends() {
		d.RetryCounts = append(d.RetryCounts, lentilmux.RetryCounts{Service: s.GetService(), Requests: int(s.GetRequests()), Retries: int(s.GetRepeats())})
	}
	return d, nil
}
