// Package vmlist speaks to the platform's list of VMs: it implements
// [lentilmux.VMList], and [Poller], which brings the list to a node.
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
	"lentilmux.example/lentilmux/vmlist/vmlistpb"
	"lentilmux.example/lentilmux/vmlist/vmlistpb/vmlistpbconnect"
)

const (
	// pollEvery is the time between two reads of the list.
	pollEvery = 500 * time.Millisecond
	// callTimeout bounds one read.
	callTimeout = time.Second
)

// Client implements [lentilmux.VMList] over Connect.
type Client struct {
	stub vmlistpbconnect.VMListServiceClient
}

// NewClient returns a client for the list at addr.
func NewClient(addr netip.AddrPort) *Client {
	dialer := &net.Dialer{Timeout: callTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext}
	return &Client{stub: vmlistpbconnect.NewVMListServiceClient(&http.Client{Transport: transport}, "http://"+addr.String())}
}

// List implements [lentilmux.VMList]. A line whose address is none is an error,
// since a list with a hole would make an upstream look gone.
func (c *Client) List(ctx context.Context) (vms []lentilmux.ListedVM, err error) {
	defer errors.DeferredAnnotatef(&err, "reading the list of VMs")
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.stub.List(ctx, connect.NewRequest(&vmlistpb.ListRequest{}))
	if err != nil {
		return nil, err
	}
	for _, vm := range response.Msg.GetVms() {
		addr, err := netip.ParseAddrPort(vm.GetAddr())
		if err != nil {
			return nil, errors.Annotatef(err, "VM %s", vm.GetName())
		}
		vms = append(vms, lentilmux.ListedVM{
			Name: vm.GetName(), Role: lentilmux.VMRole(vm.GetRole()), Zone: vm.GetZone(), Addr: addr, Leaving: vm.GetLeaving(),
		})
	}
	return vms, nil
}

// Poller reads the list again and again and hands it to a node. A failed read
// brings nothing, so the node keeps the last list.
type Poller struct {
	list lentilmux.VMList
	node lentilmux.NodeClient
}

// NewPoller returns a poller from list to node.
func NewPoller(list lentilmux.VMList, node lentilmux.NodeClient) *Poller {
	return &Poller{list: list, node: node}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollEvery)
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
