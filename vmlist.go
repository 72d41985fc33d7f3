package lentilmux

import (
	"context"
	"net/netip"
)

// VMList reads the platform's list of live and leaving VMs. The list may be out
// of date.
type VMList interface {
	List(ctx context.Context) (vms []ListedVM, err error)
}

// VMRole distinguishes entry VMs and upstreams.
type VMRole string

// The roles of listed VMs.
const (
	RoleEntry    VMRole = "entry"
	RoleUpstream VMRole = "upstream"
)

// ListedVM is one VM of the platform's list. Addr is the address at which an
// upstream serves requests or at which an entry VM listens for peers; it is not
// valid if the list has none that can be parsed.
type ListedVM struct {
	Name    string
	Role    VMRole
	Zone    string
	Addr    netip.AddrPort
	Leaving bool // whether the platform is about to stop it
}
