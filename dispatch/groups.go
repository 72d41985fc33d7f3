package dispatch

import "lentilmux.example/lentilmux"

// groupTable finds the cheapest candidate of each group of nodes. The nodes of
// a group have the same zone, the same layer range and the same value of Full.
// It is a hash table with open addressing; a new generation empties it without
// clearing the slots.
type groupTable struct {
	slots      []groupSlot
	generation uint32
}

type groupSlot struct {
	generation  uint32 // generation in which the slot was filled
	zone        int
	first, last int
	full        bool
	candidate   int // index into the candidates, -1 for none yet
}

// reset empties the table and makes room for count groups.
func (g *groupTable) reset(count int) {
	size := 64
	for size < 2*count {
		size *= 2
	}
	if len(g.slots) < size {
		g.slots = make([]groupSlot, size)
		g.generation = 0
	}
	g.generation++
}

// find returns the candidate of a node's group, to be read and set. It is -1
// for a group that was not in the table.
func (g *groupTable) find(n *lentilmux.PathNode) (candidate *int) {
	mask := uint64(len(g.slots) - 1)
	hash := (uint64(n.Zone)*31+uint64(n.Layers.First))*131 + uint64(n.Layers.Last)
	hash *= 0x9E3779B97F4A7C15
	for index := hash >> 32 & mask; ; index = (index + 1) & mask {
		s := &g.slots[index]
		if s.generation != g.generation {
			*s = groupSlot{generation: g.generation, zone: n.Zone, first: n.Layers.First, last: n.Layers.Last, full: n.Full, candidate: -1}
			return &s.candidate
		}
		if s.zone == n.Zone && s.first == n.Layers.First && s.last == n.Layers.Last && s.full == n.Full {
			return &s.candidate
		}
	}
}
