package lentilmux

// The range of priorities. The platform's upstreams accept no others.
const (
	MostUrgentPriority  = 0
	LeastUrgentPriority = 9
)

// PriorityLevels is the number of valid priorities of routes and workspaces.
const PriorityLevels = LeastUrgentPriority + 1

// LeastUrgentRequest is the greatest priority of a request, which orders requests by
// the priority of their workspace first and that of their route second.
const LeastUrgentRequest = PriorityLevels*PriorityLevels - 1

// ClampPriority returns the priority of the valid range that is nearest to a
// configured one.
func ClampPriority(priority int) (clamped int) {
	return min(max(priority, MostUrgentPriority), LeastUrgentPriority)
}
