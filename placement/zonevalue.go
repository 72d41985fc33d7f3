package placement

import (
	"math"
	"math/rand/v2"
	"slices"

	"lentilmux.example/lentilmux"
)

const (
	// groupsPerNode is the number of groups that contain a node, for each node, in
	// the sample of groups whose loss a search considers. All groups of a zone with
	// 39 upstreams would be 9,139.
	groupsPerNode = 3
	// groupLossShare is the weight of the rate after the loss of a group.
	groupLossShare = 0.5
	// hopWeight is the weight of the number of hops against that of the rate. A crash
	// hits streams in proportion to the hops of their paths.
	hopWeight = 0.3
	// usualHops is the length of paths that needs no shortening. Earlier fleets have
	// paths of three to eight hops.
	usualHops = 5
	// maxLossGain is by how much one change is assumed to raise the share of the
	// loss of groups in a value. A greater rise is rare and may be missed.
	maxLossGain = 0.04
	// logarithmBatch is the number of fractions that are multiplied before a
	// logarithm is taken, few enough that the product stays above zero.
	logarithmBatch = 64
)

// zoneValue computes the value of the ranges of a zone: the logarithm of the rate,
// averaged with that after the loss of a group, less a cost for paths longer than
// usualHops. A crash hits the more streams the more hops their paths have.
type zoneValue struct {
	rate     *pipelineRate
	groups   [][]int // nodes that may be lost together
	lossTerm float64 // share of the loss of groups in the latest value that reached its threshold
}

// newZoneValue returns the value function of the nodes of a zone.
func newZoneValue(model *lentilmux.ModelProfile, nodes []lentilmux.RangeNode, random *rand.Rand) *zoneValue {
	v := &zoneValue{rate: newPipelineRate(model, nodes)}
	for range groupsPerNode {
		for group := range slices.Chunk(random.Perm(len(nodes)), groupSize) {
			v.groups = append(v.groups, group)
		}
	}
	return v
}

// value returns the value of ranges, or negative infinity if some layer is not
// held or if the value is unlikely to reach threshold. The loss of groups is
// computed last and only if needed, since it takes most of the time.
func (v *zoneValue) value(ranges []lentilmux.LayerRange, threshold float64) (value float64) {
	rate, _ := v.rate.estimate(ranges)
	if rate <= 0 {
		return math.Inf(-1)
	}
	value = math.Log(rate) - hopWeight*math.Log(max(v.rate.hops, usualHops)/usualHops)
	if value+min(v.lossTerm+maxLossGain, 0) < threshold {
		return math.Inf(-1)
	}
	loss := groupLossShare * v.groupLoss(ranges)
	if value+loss >= threshold {
		v.lossTerm = loss
	}
	return value + loss
}

// groupLoss returns the mean logarithm of the fraction of the rate that is left
// after the loss of a group.
func (v *zoneValue) groupLoss(ranges []lentilmux.LayerRange) (mean float64) {
	if len(v.groups) == 0 {
		return 0
	}
	least := v.leastCache()
	sum, product := 0.0, 1.0
	for i, group := range v.groups {
		product *= max(v.cacheWithout(ranges, group, least)/least, otherZonesRate)
		if i%logarithmBatch == 0 {
			sum, product = sum+math.Log(product), 1
		}
	}
	return (sum + math.Log(product)) / float64(len(v.groups))
}

// leastCache returns the tokens of KV cache at the layer with the least.
func (v *zoneValue) leastCache() (tokens float64) {
	tokens = math.Inf(1)
	for _, cache := range v.rate.cache {
		tokens = min(tokens, cache)
	}
	return tokens
}

// cacheWithout returns the tokens of KV cache at the layer with the least after the
// loss of a group, given those before. The layer is one of the group's, unless the
// loss leaves the least unchanged.
func (v *zoneValue) cacheWithout(ranges []lentilmux.LayerRange, group []int, least float64) (tokens float64) {
	tokens = least
	cache := v.rate.cache
	for _, lost := range group {
		if !v.rate.fits(ranges[lost]) {
			continue
		}
		for layer := ranges[lost].First; layer <= ranges[lost].Last; layer++ {
			cache[layer] -= v.rate.tokens[lost]
			tokens = min(tokens, cache[layer])
		}
	}
	for _, lost := range group {
		if !v.rate.fits(ranges[lost]) {
			continue
		}
		for layer := ranges[lost].First; layer <= ranges[lost].Last; layer++ {
			cache[layer] += v.rate.tokens[lost]
		}
	}
	return max(tokens, 0)
}
