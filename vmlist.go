package lentilmux

import (
	"context"
	"net/netip"
)

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	List(ctx context.Context) (vms []ListedVM, err error)
}

// VMRole says what a listed VM is for.
type VMRole string

// The roles of listed VMs.
const (
	RoleEntry    VMRole = "entry"
	RoleUpstream VMRole = "upstream"
)

// ListedVM is one line of the platform's list. For an upstream Addr is where
// it serves; for an entry VM it is where it listens for peers.
type ListedVM struct {
	Name    string
	Role    VMRole
	Zone    string
	Addr    netip.AddrPort
	Leaving bool
}
