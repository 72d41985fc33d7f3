package dispatch

import "lentilmux.example/lentilmux"

// groups finds the group of a node by its zone, its range and whether it is
// full. It is a hash table that is emptied without touching its slots.
type groups struct {
	slots []groupSlot
	round uint32
}

type groupSlot struct {
	round       uint32 // in which the slot was taken
	zone        int
	first, last int
	full        bool
	value       int
}

// reset empties the table and makes room for as many groups.
func (g *groups) reset(count int) {
	size := 64
	for size < 2*count {
		size *= 2
	}
	if len(g.slots) < size {
		g.slots = make([]groupSlot, size)
		g.round = 0
	}
	g.round++
}

// find returns the value of a node's group, -1 for a new one.
func (g *groups) find(n *lentilmux.PathNode) (value *int) {
	mask := uint64(len(g.slots) - 1)
	hash := (uint64(n.Zone)*31+uint64(n.Layers.First))*131 + uint64(n.Layers.Last)
	hash *= 0x9E3779B97F4A7C15
	for at := hash >> 32 & mask; ; at = (at + 1) & mask {
		s := &g.slots[at]
		if s.round != g.round {
			*s = groupSlot{round: g.round, zone: n.Zone, first: n.Layers.First, last: n.Layers.Last, full: n.Full, value: -1}
			return &s.value
		}
		if s.zone == n.Zone && s.first == n.Layers.First && s.last == n.Layers.Last && s.full == n.Full {
			return &s.value
		}
	}
}
