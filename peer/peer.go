// Package peer communicates with other entry VMs.
//
// Over the Connect protocol, [Client] implements [lentilmux.Peer] and [Handler]
// answers its calls; [CopyClient] implements [lentilmux.StreamCopies] and
// [NewCopyHandler] answers its reads. [LoadDigestConn] sends and receives load
// digests over UDP.
//
// # Usage
//
//	client := peer.NewClient(key, tlsConfig)
//	digest, err := client.Exchange(ctx, addr, own)
//
//	path, handler := peer.NewHandler(node, key)
//	mux.Handle(path, handler)
//
//	conn, err := peer.ListenLoadDigests(addr)
//	go conn.Run(ctx, node, onError)
//	err = conn.Send(loadDigest, peers)
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
	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/peer/peerpb"
	"lentilmux.example/lentilmux/peer/peerpb/peerpbconnect"
)

// callTimeout bounds one call to a peer, including the time to connect.
const callTimeout = time.Second

// Client implements [lentilmux.Peer] over the Connect protocol. It is safe for
// concurrent use.
type Client struct {
	key    string
	scheme string
	client *http.Client

	mu    sync.Mutex
	stubs map[netip.AddrPort]peerpbconnect.PeerServiceClient
}

// NewClient returns a client that sends key with each call, or no key if it is
// empty. It uses TLS unless tlsConfig is nil.
func NewClient(key string, tlsConfig *tls.Config) *Client {
	dialer := &net.Dialer{Timeout: callTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute, TLSClientConfig: tlsConfig}
	scheme := "http://"
	if tlsConfig != nil {
		scheme = "https://"
	}
	return &Client{
		key: key, scheme: scheme, client: &http.Client{Transport: http1.NewTransport(transport)},
		stubs: make(map[netip.AddrPort]peerpbconnect.PeerServiceClient),
	}
}

// stub returns the stub for the peer at addr. Stubs are kept for later calls.
func (c *Client) stub(addr netip.AddrPort) peerpbconnect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	stub, ok := c.stubs[addr]
	if !ok {
		stub = peerpbconnect.NewPeerServiceClient(c.client, c.scheme+addr.String(), connect.WithInterceptors(attachKey(c.key)))
		c.stubs[addr] = stub
	}
	return stub
}

// Exchange implements [lentilmux.Peer].
func (c *Client) Exchange(ctx context.Context, addr netip.AddrPort, digest lentilmux.Digest) (reply lentilmux.Digest, err error) {
	defer errors.DeferredAnnotatef(&err, "exchanging digests with %s", addr)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.stub(addr).Exchange(ctx, connect.NewRequest(digestToProto(digest)))
	if err != nil {
		return lentilmux.Digest{}, err
	}
	return digestFromProto(response.Msg)
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

// digestToProto converts a digest to its protobuf message.
func digestToProto(digest lentilmux.Digest) *peerpb.Digest {
	message := &peerpb.Digest{
		Vm: digest.VM, Zone: digest.Zone, Addr: digest.Addr.String(), Incarnation: digest.Incarnation,
		Revision: uint64(digest.Revision), Draining: digest.Draining, Leaving: digest.Leaving, CallsNext: digest.NextCallOffset,
	}
	if !digest.CallsKnownSince.IsZero() {
		message.CallsSinceMs = digest.CallsKnownSince.UnixMilli()
	}
	for _, count := range digest.InFlight {
		message.InFlight = append(message.InFlight, &peerpb.UpstreamCount{Upstream: count.Upstream, Count: int32(count.Count)})
	}
	for _, usage := range digest.Usage {
		message.Usage = append(message.Usage, &peerpb.WorkspaceUsage{Workspace: usage.Workspace, Running: int32(usage.Running), Queued: int32(usage.Queued)})
	}
	return message
}

// digestFromProto converts a protobuf message to a digest. It returns an error
// if the message lacks the VM's name or a valid address.
func digestFromProto(message *peerpb.Digest) (digest lentilmux.Digest, err error) {
	addr, err := netip.ParseAddrPort(message.GetAddr())
	if err != nil {
		return lentilmux.Digest{}, errors.Annotatef(err, "address of peer %q", message.GetVm())
	}
	if message.GetVm() == "" {
		return lentilmux.Digest{}, errors.New("a digest without the name of its VM")
	}
	digest = lentilmux.Digest{
		VM: message.GetVm(), Zone: message.GetZone(), Addr: addr, Incarnation: message.GetIncarnation(),
		Revision: lentilmux.Revision(message.GetRevision()), Draining: message.GetDraining(), Leaving: message.GetLeaving(), NextCallOffset: message.GetCallsNext(),
	}
	if ms := message.GetCallsSinceMs(); ms != 0 {
		digest.CallsKnownSince = time.UnixMilli(ms)
	}
	for _, count := range message.GetInFlight() {
		digest.InFlight = append(digest.InFlight, lentilmux.UpstreamCount{Upstream: count.GetUpstream(), Count: int(count.GetCount())})
	}
	for _, usage := range message.GetUsage() {
		digest.Usage = append(digest.Usage, lentilmux.WorkspaceUsage{Workspace: usage.GetWorkspace(), Running: int(usage.GetRunning()), Queued: int(usage.GetQueued())})
	}
	return digest, nil
}
