package vmlist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"connectrpc.com/connect"

	"lentilmux.example/lentilmux/vmlist"
	"lentilmux.example/lentilmux/vmlist/vmlistpb"
	"lentilmux.example/lentilmux/vmlist/vmlistpb/vmlistpbconnect"
)

// listServer answers each read with the same list.
type listServer struct {
	vmlistpbconnect.UnimplementedVMListServiceHandler
	response *vmlistpb.ListResponse
}

func (l *listServer) List(context.Context, *connect.Request[vmlistpb.ListRequest]) (*connect.Response[vmlistpb.ListResponse], error) {
	return connect.NewResponse(l.response), nil
}

// TestListWithOddVM guards against a list that is no longer followed because one VM
// has an address that cannot be parsed. The VM stays listed: without it, it would
// look removed.
func TestListWithOddVM(t *testing.T) {
	for _, odd := range []string{"", "nowhere", "10.0.0.1:65536", "10.0.0.1:-1", "[::1"} {
		mux := http.NewServeMux()
		mux.Handle(vmlistpbconnect.NewVMListServiceHandler(&listServer{response: &vmlistpb.ListResponse{Vms: []*vmlistpb.VM{
			{Name: "w0", Addr: odd, Leaving: true}, {Name: "w1", Addr: "10.0.0.1:80"},
		}}}))
		server := httptest.NewServer(mux)
		vms, err := vmlist.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String())).List(t.Context())
		if err != nil || len(vms) != 2 || vms[0].Name != "w0" || !vms[0].Leaving || vms[0].Addr.IsValid() || vms[1].Addr.Port() != 80 {
			t.Errorf("address %q: got %+v, error %v", odd, vms, err)
		}
		server.Close()
	}
}
