package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
)

const (
	herdRoom     = 10  // requests that the memory of a fast first hop holds
	herdTokens   = 475 // that a request of a simulation holds in each layer
	herdPatience = 2 * time.Second
)

// herdWay is a way to choose among upstreams whose newest requests are not known. The
// ways that are not used change the nodes that the selector sees.
type herdWay struct {
	name   string
	change func(random *rand.Rand, node *lentilmux.PathNode)
}

var herdWays = []herdWay{
	{"known load only", func(_ *rand.Rand, n *lentilmux.PathNode) { n.Unseen = 0 }},
	{"best of a random half", func(random *rand.Rand, n *lentilmux.PathNode) {
		n.Unseen = 0
		n.Full = n.Full || random.IntN(2) == 0
	}},
	{"all unseen counted", func(_ *rand.Rand, n *lentilmux.PathNode) {
		n.Reserved += int64(n.Unseen * herdTokens * float64(n.Layers.Len()))
		n.Unseen = 0
	}},
	{"random place in the herd", func(*rand.Rand, *lentilmux.PathNode) {}},
}

// herdSelector applies a way before it selects a path.
type herdSelector struct {
	lentilmux.PathSelector
	way    herdWay
	random *rand.Rand
}

// Choose implements [lentilmux.PathSelector].
func (h *herdSelector) Choose(request lentilmux.PathRequest, nodes []lentilmux.PathNode, path []lentilmux.PathHop) ([]lentilmux.PathHop, lentilmux.PathEstimate, bool) {
	for i := range nodes {
		h.way.change(h.random, &nodes[i])
	}
	return h.PathSelector.Choose(request, nodes, path)
}

// newHerd returns a simulation in which a third of the first hops of each zone is fast
// and holds few requests, and the others are slow and hold many.
func newHerd(t *testing.T, seed uint64, way herdWay, vms, pairs int) *simulation {
	return newSimulation(t, seed, vms, pairs, func(s *simulation) {
		s.patience = herdPatience
		s.selector = func(seed uint64) lentilmux.PathSelector {
			return &herdSelector{PathSelector: dispatch.NewCheapestPath(seed), way: way, random: rand.New(rand.NewPCG(seed, 1))}
		}
		s.profile = func(model *lentilmux.ModelProfile) {
			model.Accelerators[0].MemoryBytes = 4*model.LayerBytes + herdRoom*herdTokens*4*100/97 + 1
			model.Accelerators[1].MemoryBytes = 1 << 20
		}
		for i, upstream := range s.upstreams {
			if i%2 == 0 && i/2%(3*simulatedZones) < simulatedZones {
				upstream.room = herdRoom
				continue
			}
			upstream.record.Accelerator = "small"
		}
	})
}

// TestHerds plays VMs that choose paths with load data of the same age, where an
// upstream with little memory is the cheapest whenever it is empty. It guards against
// requests that never begin since all VMs send theirs to the same upstream at once.
func TestHerds(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name       string
		vms, pairs int
		perSecond  float64 // requests of one VM
		burst      float64 // factor of the requests from 2 to 4 s
	}{
		{"6 VMs", 6, 9, 16, 1}, {"30 VMs, quiet", 30, 9, 0.3, 1}, {"30 VMs", 30, 9, 3, 1}, {"30 VMs, burst", 30, 9, 3, 2.5}, {"87 VMs", 87, 18, 3, 1},
	} {
		fmt.Fprintf(&out, "%s, %d first hops\n", c.name, c.pairs)
		for i, way := range herdWays {
			s := newHerd(t, 1, way, c.vms, c.pairs)
			s.run(time.Second)
			s.playArrivals(5*time.Second, func(at time.Duration) float64 {
				if at >= 2*time.Second && at < 4*time.Second {
					return c.burst * c.perSecond * float64(c.vms)
				}
				return c.perSecond * float64(c.vms)
			})
			s.run(herdPatience)
			left, fast := 0, 0 // requests that never began, and those at fast upstreams
			for _, request := range s.requests {
				upstream := s.byID[request.attempt.Upstream] // nil if the request was refused
				switch {
				case request.left:
					left++
				case upstream != nil && upstream.room > 0:
					fast++
				}
			}
			if used := i == len(herdWays)-1; used && left > 0 {
				t.Errorf("%s: %d of %d requests never began", c.name, left, len(s.requests))
			}
			fmt.Fprintf(&out, "  %-25s %4d requests, %3d never began, %2d in 100 at fast upstreams\n", way.name, len(s.requests), left, 100*fast/len(s.requests))
		}
	}
	goldie.New(t).Assert(t, "herds", []byte(out.String()))
}

// playArrivals sends requests at random times, at a rate per second that depends on
// the time since the start.
func (s *simulation) playArrivals(duration time.Duration, rate func(at time.Duration) float64) {
	end := s.now.Add(duration)
	for at := time.Duration(0); s.now.Before(end); {
		gap := time.Duration(s.random.ExpFloat64() / rate(at) * float64(time.Second)).Round(time.Millisecond)
		s.run(gap)
		at += gap
		s.request()
	}
}

// TestMoveHerds loses an upstream in the middle of many paths. It guards against VMs
// that all move their streams to the cheapest other upstream at once, where only a few
// have room.
func TestMoveHerds(t *testing.T) {
	var out strings.Builder
	for _, vms := range []int{1, 6, 12, 30} {
		s := newSimulation(t, 1, vms, 3*simulatedZones, func(s *simulation) {
			s.profile = func(model *lentilmux.ModelProfile) {
				tight := lentilmux.Accelerator{Name: "tight", MemoryBytes: 4*model.LayerBytes + herdRoom*herdTokens*4*100/97 + 1, StepFactor: 3, PrefillFactor: 3}
				model.Accelerators[1].MemoryBytes = 1 << 20
				model.Accelerators = append(model.Accelerators, tight)
			}
			for i, upstream := range s.upstreams {
				if i%2 == 1 { // the second halves of the paths
					upstream.record.Accelerator = []string{"large", "tight", "small"}[i/2/simulatedZones]
				}
			}
		})
		s.run(time.Second)
		s.playArrivals(900*time.Millisecond, func(time.Duration) float64 { return 150 })
		s.run(10 * time.Millisecond)
		lost := s.upstreams[1]
		lost.downUntil = s.now.Add(simulatedDowntime)
		moved := make(map[string]int)
		s.onMove = func(path []lentilmux.Hop) { moved[s.byID[path[len(path)-1].Upstream].record.Accelerator]++ }
		for _, vm := range s.vms {
			s.report(vm, lost.record.ID)
		}
		fmt.Fprintf(&out, "%d VMs: %d streams moved to the upstream with room for %d, %d to the others\n", vms, moved["tight"], herdRoom, moved["small"]+moved["large"])
		if moved["tight"] > herdRoom {
			t.Errorf("%d VMs move %d streams to an upstream with room for %d", vms, moved["tight"], herdRoom)
		}
	}
	goldie.New(t).Assert(t, "move_herds", []byte(out.String()))
}
