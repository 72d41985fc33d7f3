// Package vmlist reads the platform's list of VMs. [Client] implements
// [lentilmux.VMList], and [Poller] sends the list to a node at regular
// intervals.
//
// Reads the platform's list service over Connect.
//
// # Usage
//
//	poller := vmlist.NewPoller(vmlist.NewClient(addr), node)
//	go poller.Run(ctx)
package vmlist

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/http1"
	"lentilmux.example/lentilmux/vmlist/vmlistpb"
	"lentilmux.example/lentilmux/vmlist/vmlistpb/vmlistpbconnect"
)

const (
	// pollInterval is the time between two reads of the list.
	pollInterval = 500 * time.Millisecond
	// readTimeout is the timeout of one read.
	readTimeout = time.Second
)

// Client implements [lentilmux.VMList] over Connect.
type Client struct {
	stub vmlistpbconnect.VMListServiceClient
}

// NewClient returns a client for the list service at addr.
func NewClient(addr netip.AddrPort) *Client {
	dialer := &net.Dialer{Timeout: readTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext}
	return &Client{stub: vmlistpbconnect.NewVMListServiceClient(&http.Client{Transport: http1.NewTransport(transport)}, "http://"+addr.String())}
}

// List implements [lentilmux.VMList]. A VM whose address cannot be parsed is listed
// without one, since a list without that VM would make it look removed.
func (c *Client) List(ctx context.Context) (vms []lentilmux.ListedVM, err error) {
	defer errors.DeferredAnnotatef(&err, "reading the list of VMs")
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	response, err := c.stub.List(ctx, connect.NewRequest(&vmlistpb.ListRequest{}))
	if err != nil {
		return nil, err
	}
	for _, vm := range response.Msg.GetVms() {
		addr, err := netip.ParseAddrPort(vm.GetAddr())
		if err != nil {
			addr = netip.AddrPort{}
		}
		vms = append(vms, lentilmux.ListedVM{
			Name: vm.GetName(), Role: lentilmux.VMRole(vm.GetRole()), Zone: vm.GetZone(), Addr: addr, Leaving: vm.GetLeaving(),
		})
	}
	return vms, nil
}

// Poller reads the list at regular intervals and sends it to a node. After a
// failed read it sends nothing, so that the node keeps the last list.
type Poller struct {
	list lentilmux.VMList
	node lentilmux.NodeClient
}

// NewPoller returns a poller that reads list and sends to node.
func NewPoller(list lentilmux.VMList, node lentilmux.NodeClient) *Poller {
	return &Poller{list: list, node: node}
}

// Run polls until ctx is done or the node no longer accepts messages.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		vms, err := p.list.List(ctx)
		if err == nil && p.node.Send(ctx, lentilmux.VMListMsg{VMs: vms}) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
