package workload

import (
	"math/bits"

	"lentilmux.example/lentilmux"
)

// keyLevels is the number of keys of a query.
const keyLevels = 5

// rowKey identifies a row: a hash of what its answers have in common.
type rowKey uint64

// queryKeys returns the keys under which answers to a query are counted, from the
// most general one to the most specific one: the service with whether there is a
// hint, then also the route, the workspace, the first shared part, and the octave of
// the hint. Ratios to a hint and to the typical answer have nothing in common, so
// that they are separated at all levels.
func queryKeys(query lentilmux.CostQuery) (keys [keyLevels]rowKey) {
	octave := bits.Len(uint(query.Hint()))
	key := mixKey(rowKey(lentilmux.ComputeFingerprint(query.Service)), uint64(min(octave, 1)))
	keys[0] = key
	for i, value := range [keyLevels - 1]uint64{
		uint64(lentilmux.ComputeFingerprint(query.Route)), uint64(lentilmux.ComputeFingerprint(query.Workspace)), uint64(query.SharedPart), uint64(octave),
	} {
		key = mixKey(key, value)
		keys[i+1] = key
	}
	return keys
}

// mixKey extends a key by a value. Each key is also extended by the value 0, so that
// the levels of a query have different keys.
func mixKey(key rowKey, value uint64) rowKey {
	x := uint64(key)*0x9e3779b97f4a7c15 + value + 1
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return rowKey(x)
}
