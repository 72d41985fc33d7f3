package lentilmux

// The range of priorities. The platform's upstreams accept no others.
const (
	MostUrgentPriority  = 0
	LeastUrgentPriority = 9
)

// ClampPriority returns the priority of the valid range that is nearest to a
// configured one.
func ClampPriority(priority int) (clamped int) {
	return min(max(priority, MostUrgentPriority), LeastUrgentPriority)
}
