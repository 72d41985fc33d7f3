package table

import (
	"net/netip"
	"time"

	"lentilmux.example/lentilmux"
)

// VM is one VM of the platform's list.
type VM struct {
	Listed lentilmux.ListedVM
	SeenAt time.Time // when the list last held it
}

// Peer is another entry VM and the state that it last reported.
type Peer struct {
	Name           string
	Addr           netip.AddrPort
	Digest         lentilmux.Digest // the last one received
	LastDigestAt   time.Time        // when it was received
	LastExchangeAt time.Time        // when this node last began an exchange
	FailingSince   time.Time        // of the first failed exchange since LastDigestAt; zero without one
	RTT            time.Duration    // round-trip time of the last exchange
	Leaving        bool             // whether the platform is about to stop it
}

// VMs is the table of [VM] rows.
type VMs struct {
	Rows  []VM
	index Index
}

// Find returns the row with the name, or nil.
func (t *VMs) Find(name string) *VM {
	row, ok := t.index.Find(name)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds row, or replaces the row with the same key.
func (t *VMs) Put(row VM) *VM {
	if old := t.Find(row.Listed.Name); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Listed.Name, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row with the name, if there is one.
func (t *VMs) Remove(name string) {
	row, ok := t.index.Find(name)
	if !ok {
		return
	}
	last := len(t.Rows) - 1
	moved := t.Rows[last]
	t.Rows[row] = moved
	t.Rows[last] = VM{}
	t.Rows = t.Rows[:last]
	t.index.remove(name, moved.Listed.Name)
}

// Peers is the table of [Peer] rows.
type Peers struct {
	Rows  []Peer
	index Index
}

// Find returns the row with the name, or nil.
func (t *Peers) Find(name string) *Peer {
	row, ok := t.index.Find(name)
	if !ok {
		return nil
	}
	return &t.Rows[row]
}

// Put adds row, or replaces the row with the same key.
func (t *Peers) Put(row Peer) *Peer {
	if old := t.Find(row.Name); old != nil {
		*old = row
		return old
	}
	t.index.put(row.Name, len(t.Rows))
	t.Rows = append(t.Rows, row)
	return &t.Rows[len(t.Rows)-1]
}

// Remove removes the row with the name, if there is one.
func (t *Peers) Remove(name string) {
	row, ok := t.index.Find(name)
	if !ok {
		return
	}
	last := len(t.Rows) - 1
	moved := t.Rows[last]
	t.Rows[row] = moved
	t.Rows[last] = Peer{}
	t.Rows = t.Rows[:last]
	t.index.remove(name, moved.Name)
}
