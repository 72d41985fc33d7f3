package placement

import (
	"math"
	"slices"

	"lentilmux.example/lentilmux"
)

const (
	// grains is the number of parts into which a model's layers are cut to
	// place them; ranges begin and end between parts.
	grains = 40
	// rounds bounds how often every upstream may choose again.
	rounds = 6
	// batch is the number of requests that a step is assumed to serve.
	batch = 24
	// waits is how many times longer a token takes than its steps, since it
	// waits at each upstream for the pass under way.
	waits = 2.5
	// lent is the part of a layer's capacity in other availability zones that
	// stands in where a zone has little of its own.
	lent = 0.08
	// floor keeps the cost of an uncovered layer finite, in requests a second.
	floor = 0.02
	// lossWeight weighs what a layer costs when its largest holder is lost
	// against what it costs when all are there.
	lossWeight = 0.15
)

// ZoneBalanced spreads layers so that in every availability zone the requests a
// second that the weakest layer carries, by memory and by speed, are as many
// as can be. Each upstream in turn takes the range that lowers the summed cost
// of all layers most; layers that few carry cost most.
type ZoneBalanced struct{}

// spread is the state of one placement.
type spread struct {
	model  *lentilmux.ModelProfile
	zones  int
	grains int
	length int       // layers of a grain
	carry  []float64 // requests a second, by zone and grain
	total  []float64 // the same of all zones
	most   []float64 // of the largest holder, by zone and grain
	held   []holding
}

// holding is a range that counts.
type holding struct {
	zone   int
	layers lentilmux.LayerRange
	rate   float64
	first  float64 // the same of the first layers
}

// at returns the requests a second that count at a grain.
func (h holding) at(g int) float64 {
	if g == 0 {
		return h.first
	}
	return h.rate
}

// Place implements [lentilmux.RangePlacement].
func (ZoneBalanced) Place(model *lentilmux.ModelProfile, zones int, nodes []lentilmux.RangeNode) (ranges []lentilmux.LayerRange) {
	s := newSpread(model, zones)
	ranges = make([]lentilmux.LayerRange, len(nodes))
	placed := make([]bool, len(nodes))
	for i, n := range nodes {
		if n.Pinned {
			ranges[i], placed[i] = n.Layers, true
			s.add(n, n.Layers)
		}
	}
	for round := range rounds {
		changed := false
		for i, n := range nodes {
			if n.Pinned {
				continue
			}
			if placed[i] {
				s.remove(n, ranges[i])
			}
			best := s.best(n)
			changed = changed || !placed[i] || best != ranges[i]
			ranges[i], placed[i] = best, true
			s.add(n, best)
		}
		if round > 0 && !changed {
			break
		}
	}
	return ranges
}

func newSpread(model *lentilmux.ModelProfile, zones int) *spread {
	length := max(1, (model.Layers+grains-1)/grains)
	count := (model.Layers + length - 1) / length
	return &spread{
		model: model, zones: max(zones, 1), grains: count, length: length,
		carry: make([]float64, max(zones, 1)*count), most: make([]float64, max(zones, 1)*count), total: make([]float64, count),
	}
}

// rate returns the requests a second that a card carries through each layer of
// a range of that many layers.
func (s *spread) rate(card lentilmux.Accelerator, layers int) float64 {
	m := s.model
	share := float64(layers) / float64(m.Layers)
	answer, prompt := float64(m.TypicalAnswerTokens), float64(m.TypicalPromptTokens)
	context := (prompt + answer/2) / 1000
	step := card.StepFactor * (m.StepTime.Seconds()/batch + m.StepTimePerStream.Seconds() + m.StepTimePerContext.Seconds()*context)
	work := share * (answer*step + card.PrefillFactor*prompt/m.PrefillTokensPerSecond)
	bySpeed := 1 / math.Max(work, 1e-9)
	tokens := float64(m.CacheCapacity(card, layers)) / float64(layers)
	byMemory := tokens / math.Max((prompt+answer/2)*s.stay(), 1e-9)
	return 1 / (1/bySpeed + 1/math.Max(byMemory, 1e-9))
}

// stay is for how long a request holds memory, in seconds: as long as the steps
// of its tokens take on a path of cards of middling pace.
func (s *spread) stay() float64 {
	m := s.model
	return float64(m.TypicalAnswerTokens) * s.usualPace() * (m.StepTime.Seconds() + batch*m.StepTimePerStream.Seconds())
}

// holding returns what a node with a range counts for. As the first of a path it
// takes only so many requests at once.
func (s *spread) holding(n lentilmux.RangeNode, layers lentilmux.LayerRange) (h holding) {
	h = holding{zone: n.Zone, layers: layers, rate: s.rate(n.Accelerator, layers.Len())}
	h.first = h.rate
	if n.Slots > 0 {
		h.first = 1 / (1/h.rate + waits*s.stay()/float64(n.Slots))
	}
	return h
}

// usualPace is the geometric mean of the cards' paces.
func (s *spread) usualPace() float64 {
	if len(s.model.Accelerators) == 0 {
		return 1
	}
	product := 1.0
	for _, card := range s.model.Accelerators {
		product *= math.Max(card.StepFactor, 1e-3)
	}
	return math.Pow(product, 1/float64(len(s.model.Accelerators)))
}

// add counts a node's range.
func (s *spread) add(n lentilmux.RangeNode, layers lentilmux.LayerRange) {
	h := s.holding(n, layers)
	s.held = append(s.held, h)
	for g := layers.First / s.length; g <= layers.Last/s.length && g < s.grains; g++ {
		at := n.Zone*s.grains + g
		s.carry[at] += h.at(g)
		s.total[g] += h.at(g)
		s.most[at] = math.Max(s.most[at], h.at(g))
	}
}

// remove takes a node's range off again.
func (s *spread) remove(n lentilmux.RangeNode, layers lentilmux.LayerRange) {
	gone := s.holding(n, layers)
	i := slices.Index(s.held, gone)
	s.held = slices.Delete(s.held, i, i+1)
	for g := layers.First / s.length; g <= layers.Last/s.length && g < s.grains; g++ {
		at := n.Zone*s.grains + g
		s.carry[at] -= gone.at(g)
		s.total[g] -= gone.at(g)
		s.most[at] = 0
		for _, h := range s.held {
			if h.zone == n.Zone && h.layers.First/s.length <= g && g <= h.layers.Last/s.length {
				s.most[at] = math.Max(s.most[at], h.at(g))
			}
		}
	}
}

// cost is what a layer costs a zone that carries so many requests a second
// through it.
func (s *spread) cost(zone, g int, extra float64) float64 {
	at := zone*s.grains + g
	own := s.carry[at]
	others := lent*(s.total[g]-own) + floor
	left := own + extra - math.Max(s.most[at], extra)
	return 1/(own+extra+others) + lossWeight/(left+others)
}

// best returns the range of a node that lowers the cost most.
func (s *spread) best(n lentilmux.RangeNode) (best lentilmux.LayerRange) {
	bestGain := math.Inf(-1)
	most := min(s.model.MaxLayers(n.Accelerator)/s.length, s.grains)
	for count := 1; count <= most; count++ {
		h := s.holding(n, lentilmux.LayerRange{Last: count*s.length - 1})
		gain := 0.0
		for g := range s.grains {
			gain += s.gain(n.Zone, g, h.at(g))
			if g >= count {
				gain -= s.gain(n.Zone, g-count, h.at(g-count))
			}
			if g < count-1 || gain <= bestGain {
				continue
			}
			bestGain = gain
			best = lentilmux.LayerRange{First: (g - count + 1) * s.length, Last: min((g+1)*s.length, s.model.Layers) - 1}
		}
	}
	return best
}

// gain is how much a rate at one grain lowers the cost of its own zone.
func (s *spread) gain(zone, g int, rate float64) float64 {
	return s.cost(zone, g, 0) - s.cost(zone, g, rate)
}
