package dispatch_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
	"lentilmux.example/lentilmux/placement"
)

const (
	herdVMs           = 74
	herdViewInterval  = 300 * time.Millisecond // between two loads that a VM learns
	herdViewAge       = 400 * time.Millisecond // of loads when a VM learns them
	herdFullDuration  = 250 * time.Millisecond // for which a VM avoids an upstream that refused it
	herdDuration      = 25 * time.Second
	herdWarmUp        = 5 * time.Second
	herdPromptTokens  = 770
	herdAnswerTokens  = 220
	herdEstimateError = 0.5 // standard deviation of the logarithm of answer tokens over their estimate
)

// herdModel is a model whose copy takes seven of the largest accelerators' free memory.
func herdModel() *lentilmux.ModelProfile {
	return &lentilmux.ModelProfile{
		Layers: 80, LayerBytes: 1750e6, CacheBytesPerToken: 492000, StepTime: 1020 * time.Microsecond, StepTimePerStream: 3820 * time.Nanosecond, StepTimePerContext: 5120 * time.Nanosecond,
		PrefillTokensPerSecond: 196000, ActivationBytes: 24600, ZoneLinkBitRate: 6640e6, TokensPerEvent: 5, TypicalPromptTokens: herdPromptTokens, TypicalAnswerTokens: herdAnswerTokens, LoadTime: 14 * time.Second,
		Accelerators: []lentilmux.Accelerator{
			{Name: "large", MemoryBytes: 72000e6, StepFactor: 2.4, PrefillFactor: 3.2},
			{Name: "small", MemoryBytes: 14400e6, StepFactor: 5.3, PrefillFactor: 7.9},
			{Name: "slow", MemoryBytes: 21600e6, StepFactor: 16, PrefillFactor: 8.2},
		},
	}
}

// herdNodes places the model over three uneven zones.
func herdNodes(model *lentilmux.ModelProfile) (nodes []lentilmux.PathNode) {
	counts := [3][3]int{{4, 10, 11}, {3, 14, 16}, {2, 24, 9}}
	var ranges []lentilmux.RangeNode
	for zone, byKind := range counts {
		for kind, count := range byKind {
			for i := range count {
				ranges = append(ranges, lentilmux.RangeNode{Upstream: fmt.Sprintf("u%d%d%02d", zone, kind, i), Zone: zone, Accelerator: model.Accelerators[kind], Slots: 192})
			}
		}
	}
	slices.SortFunc(ranges, func(a, b lentilmux.RangeNode) int { return cmp.Compare(a.Upstream, b.Upstream) })
	for i, layers := range (placement.ZoneSearch{}).Place(model, len(counts), ranges) {
		n := ranges[i]
		nodes = append(nodes, lentilmux.PathNode{
			Zone: n.Zone, Layers: layers, StepFactor: n.Accelerator.StepFactor, PrefillFactor: n.Accelerator.PrefillFactor,
			Capacity: model.CacheCapacity(n.Accelerator, layers.Len()),
		})
	}
	return nodes
}

// herdStream is a request in flight.
type herdStream struct {
	path     []lentilmux.PathHop
	start    time.Duration
	end      time.Duration
	prompt   int
	answer   int
	reserved int64 // tokens, in each layer
}

// used returns the tokens that a stream holds in each layer.
func (s *herdStream) used(at time.Duration) float64 {
	return float64(s.prompt) + float64(s.answer)*float64(at-s.start)/float64(s.end-s.start)
}

// herdVM is an entry VM with what it knows of the loads.
type herdVM struct {
	selector  *dispatch.CheapestPath
	view      []lentilmux.PathNode
	learnsAt  time.Duration
	fullUntil []time.Duration
}

// herdResult is what became of the requests of one run.
type herdResult struct {
	requests, refusals, twice, noRoom int
	hops                              int
	gaps                              time.Duration
	busiest                           float64 // arrivals at the busiest first hop over the mean
}

// runHerd lets many VMs choose paths by loads that are some hundred milliseconds old.
func runHerd(perSecond float64, seed uint64) (result herdResult) {
	model := herdModel()
	nodes := herdNodes(model)
	random := rand.New(rand.NewPCG(seed, 2))
	vms := make([]herdVM, herdVMs)
	for i := range vms {
		vms[i] = herdVM{selector: dispatch.NewCheapestPath(seed*1000 + uint64(i)), view: slices.Clone(nodes), learnsAt: time.Duration(i) * herdViewInterval / herdVMs, fullUntil: make([]time.Duration, len(nodes))}
	}
	var history [][]lentilmux.PathNode // every 10 ms
	var streams []herdStream
	layers := 0
	for i := range nodes {
		layers += nodes[i].Layers.Len()
	}
	unseen := perSecond * (herdViewAge + herdViewInterval/2).Seconds() * float64(model.Layers) / float64(layers)
	firsts := make([]int, len(nodes))
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < herdDuration; now += step {
		streams = slices.DeleteFunc(streams, func(s herdStream) bool {
			if s.end > now {
				return false
			}
			for _, hop := range s.path {
				nodes[hop.Node].Streams--
				nodes[hop.Node].Reserved -= s.reserved * int64(hop.Layers.Len())
			}
			return true
		})
		history = append(history, slices.Clone(nodes))
		for i := range vms {
			if vm := &vms[i]; now >= vm.learnsAt {
				vm.learnsAt += herdViewInterval
				copy(vm.view, history[max(0, len(history)-1-int(herdViewAge/step))])
			}
		}
		used := make([]float64, len(nodes))
		for i := range streams {
			for _, hop := range streams[i].path {
				used[hop.Node] += streams[i].used(now) * float64(hop.Layers.Len())
			}
		}
		for arrivals := perSecond * step.Seconds(); arrivals > random.Float64(); arrivals-- {
			vm := &vms[random.IntN(len(vms))]
			expected := max(5, int(herdAnswerTokens*math.Exp(0.6*random.NormFloat64()-0.18)))
			answer := max(5, int(float64(expected)*math.Exp(herdEstimateError*random.NormFloat64())))
			prompt := max(20, int(herdPromptTokens*math.Exp(0.7*random.NormFloat64()-0.245)))
			counted := now >= herdWarmUp
			if counted {
				result.requests++
			}
			for attempt := range 3 {
				candidates := slices.Clone(vm.view)
				for i := range candidates {
					if now < vm.fullUntil[i] {
						candidates[i].Capacity = 0
					}
				}
				request := lentilmux.PathRequest{Model: model, Layers: lentilmux.LayerRange{Last: 79}, SourceZone: random.IntN(3), PromptTokens: prompt, AnswerTokens: expected, SingleZone: true, UnseenRequests: unseen}
				path, estimate, ok := vm.selector.Choose(request, candidates, nil)
				if !ok {
					if counted {
						result.noRoom++
					}
					break
				}
				firsts[path[0].Node]++
				full := slices.IndexFunc(path, func(hop lentilmux.PathHop) bool {
					return used[hop.Node]+float64(prompt*hop.Layers.Len()) > float64(nodes[hop.Node].Capacity)
				})
				if full >= 0 {
					vm.fullUntil[path[full].Node] = now + herdFullDuration
					if counted {
						result.refusals++
						if attempt == 1 {
							result.twice++
						}
					}
					continue
				}
				s := herdStream{path: path, start: now, prompt: prompt, answer: answer, reserved: dispatch.CacheTokens(prompt, expected)}
				s.end = now + estimate.TimeToFirstEvent + time.Duration(float64(answer)/5*1.6*float64(estimate.EventGap))
				streams = append(streams, s)
				for _, hop := range path {
					vm.view[hop.Node].Streams++
					vm.view[hop.Node].Reserved += s.reserved * int64(hop.Layers.Len())
					nodes[hop.Node].Streams++
					nodes[hop.Node].Reserved += s.reserved * int64(hop.Layers.Len())
					used[hop.Node] += float64(prompt * hop.Layers.Len())
				}
				if counted {
					result.hops += len(path)
					result.gaps += estimate.EventGap
				}
				break
			}
		}
	}
	total, most := 0, 0
	for _, count := range firsts {
		total, most = total+count, max(most, count)
	}
	result.busiest = float64(most) * float64(len(nodes)) / float64(total)
	return result
}

func TestManyVMsWithOldLoads(t *testing.T) {
	var out strings.Builder
	for _, perSecond := range []float64{150, 290, 350, 420} {
		var sum herdResult
		for seed := range uint64(2) {
			r := runHerd(perSecond, seed+1)
			sum.requests += r.requests
			sum.refusals += r.refusals
			sum.twice += r.twice
			sum.noRoom += r.noRoom
			sum.hops += r.hops
			sum.gaps += r.gaps
			sum.busiest += r.busiest / 2
		}
		served := max(sum.requests-sum.noRoom, 1)
		fmt.Fprintf(&out, "%.0f a second: of %d refused %d, twice %d, no room %d, hops %.2f, gap %s, busiest %.1f\n", perSecond, sum.requests, sum.refusals, sum.twice, sum.noRoom, float64(sum.hops)/float64(served), (sum.gaps / time.Duration(served)).Round(time.Millisecond/10), sum.busiest)
	}
	t.Log("\n" + out.String())
	_ = goldie.New
}
