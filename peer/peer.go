// Package peer speaks to other entry VMs over Connect: [Client] implements
// [lentilmux.Peer], and [Handler] answers the peers' calls.
//
// # Usage
//
//	client := peer.NewClient(key)
//	digest, err := client.Exchange(ctx, addr, own)
//
//	path, handler := peer.NewHandler(node, key)
//	mux.Handle(path, handler)
package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer/peerpb"
	"lentilmux.example/lentilmux/peer/peerpb/peerpbconnect"
)

// callTimeout bounds one call to a peer.
const callTimeout = time.Second

// Client implements [lentilmux.Peer].
type Client struct {
	key    string
	scheme string
	client *http.Client

	mu    sync.Mutex
	stubs map[netip.AddrPort]peerpbconnect.PeerServiceClient
}

// NewClient returns a client that shows key to its peers; the empty key shows
// none. It uses TLS unless security is nil.
func NewClient(key string, security *tls.Config) *Client {
	dialer := &net.Dialer{Timeout: callTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute, TLSClientConfig: security}
	scheme := "http://"
	if security != nil {
		scheme = "https://"
	}
	return &Client{
		key: key, scheme: scheme, client: &http.Client{Transport: transport},
		stubs: make(map[netip.AddrPort]peerpbconnect.PeerServiceClient),
	}
}

func (c *Client) stub(addr netip.AddrPort) peerpbconnect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	stub, ok := c.stubs[addr]
	if !ok {
		stub = peerpbconnect.NewPeerServiceClient(c.client, c.scheme+addr.String(), connect.WithInterceptors(showKey(c.key)))
		c.stubs[addr] = stub
	}
	return stub
}

// Exchange implements [lentilmux.Peer].
func (c *Client) Exchange(ctx context.Context, addr netip.AddrPort, digest lentilmux.Digest) (reply lentilmux.Digest, err error) {
	defer errors.DeferredAnnotatef(&err, "exchanging digests with %s", addr)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.stub(addr).Exchange(ctx, connect.NewRequest(toWire(digest)))
	if err != nil {
		return lentilmux.Digest{}, err
	}
	return fromWire(response.Msg)
}

// Snapshot implements [lentilmux.Peer].
func (c *Client) Snapshot(ctx context.Context, addr netip.AddrPort) (snapshot lentilmux.Snapshot, err error) {
	defer errors.DeferredAnnotatef(&err, "fetching the configuration of %s", addr)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.stub(addr).Snapshot(ctx, connect.NewRequest(&peerpb.SnapshotRequest{}))
	if err != nil {
		return lentilmux.Snapshot{}, err
	}
	err = json.Unmarshal(response.Msg.GetSnapshot(), &snapshot)
	return snapshot, err
}

// toWire translates a digest to its message.
func toWire(d lentilmux.Digest) *peerpb.Digest {
	m := &peerpb.Digest{
		Vm: d.VM, Zone: d.Zone, Addr: d.Addr.String(), Incarnation: d.Incarnation,
		Revision: uint64(d.Revision), Draining: d.Draining, Leaving: d.Leaving, CallsNext: d.NextCallOffset,
	}
	if !d.CallsKnownSince.IsZero() {
		m.CallsSinceMs = d.CallsKnownSince.UnixMilli()
	}
	for _, c := range d.InFlight {
		m.InFlight = append(m.InFlight, &peerpb.UpstreamCount{Upstream: c.Upstream, Count: int32(c.Count)})
	}
	for _, u := range d.Usage {
		m.Usage = append(m.Usage, &peerpb.WorkspaceUsage{Workspace: u.Workspace, Running: int32(u.Running), Queued: int32(u.Queued)})
	}
	return m
}

// fromWire translates a message to its digest.
func fromWire(m *peerpb.Digest) (digest lentilmux.Digest, err error) {
	addr, err := netip.ParseAddrPort(m.GetAddr())
	if err != nil {
		return lentilmux.Digest{}, errors.Annotatef(err, "address of peer %q", m.GetVm())
	}
	if m.GetVm() == "" {
		return lentilmux.Digest{}, errors.New("a digest without the name of its VM")
	}
	digest = lentilmux.Digest{
		VM: m.GetVm(), Zone: m.GetZone(), Addr: addr, Incarnation: m.GetIncarnation(),
		Revision: lentilmux.Revision(m.GetRevision()), Draining: m.GetDraining(), Leaving: m.GetLeaving(), NextCallOffset: m.GetCallsNext(),
	}
	if ms := m.GetCallsSinceMs(); ms != 0 {
		digest.CallsKnownSince = time.UnixMilli(ms)
	}
	for _, c := range m.GetInFlight() {
		digest.InFlight = append(digest.InFlight, lentilmux.UpstreamCount{Upstream: c.GetUpstream(), Count: int(c.GetCount())})
	}
	for _, u := range m.GetUsage() {
		digest.Usage = append(digest.Usage, lentilmux.WorkspaceUsage{Workspace: u.GetWorkspace(), Running: int(u.GetRunning()), Queued: int(u.GetQueued())})
	}
	return digest, nil
}
