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

// datagramMost is the largest load digest that is received, in bytes.
const datagramMost = 60 << 10

// LoadDigestConn sends and receives load digests over UDP. Each is whole, so that a
// lost one needs no repeat.
type LoadDigestConn struct {
	conn *net.UDPConn
}

// ListenLoadDigests opens the address for load digests.
func ListenLoadDigests(addr netip.AddrPort) (d *LoadDigestConn, err error) {
	defer errors.DeferredAnnotatef(&err, "listening for load digests")
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return &LoadDigestConn{conn: conn}, nil
}

// Addr returns the address that is listened on.
func (d *LoadDigestConn) Addr() netip.AddrPort {
	return d.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close ends both directions.
func (d *LoadDigestConn) Close() (err error) { return d.conn.Close() }

// Send sends a digest to VMs. It returns the last error; the other VMs get
// theirs all the same.
func (d *LoadDigestConn) Send(digest lentilmux.LoadDigest, to []netip.AddrPort) (err error) {
	defer errors.DeferredAnnotatef(&err, "sending a load digest")
	data, err := proto.Marshal(loadToWire(digest))
	if err != nil {
		return err
	}
	for _, addr := range to {
		if _, failed := d.conn.WriteToUDPAddrPort(data, addr); failed != nil {
			err = failed
		}
	}
	return err
}

// Run hands received digests to the node until ctx ends. A datagram that is no
// digest is passed over; bad is told why.
func (d *LoadDigestConn) Run(ctx context.Context, node lentilmux.NodeClient, bad func(from netip.AddrPort, err error)) {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() }) // ends the read below
	defer stop()
	buffer := make([]byte, datagramMost)
	for {
		count, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			bad(from, err)
			continue
		}
		digest, err := loadFromWire(buffer[:count])
		if err != nil {
			bad(from, err)
			continue
		}
		if node.Send(ctx, lentilmux.LoadDigestMsg{Digest: digest}) != nil {
			return
		}
	}
}

// loadToWire translates a load digest to its message.
func loadToWire(d lentilmux.LoadDigest) *peerpb.LoadDigest {
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

// loadFromWire translates a message to its load digest.
func loadFromWire(data []byte) (d lentilmux.LoadDigest, err error) {
	defer errors.DeferredAnnotatef(&err, "reading a load digest")
	var m peerpb.LoadDigest
	if err := proto.Unmarshal(data, &m); err != nil {
		return d, err
	}
	addr, err := netip.ParseAddrPort(m.GetAddr())
	if err != nil {
		return d, err
	}
	if m.GetVm() == "" {
		return d, errors.New("no name of its VM")
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
