package system

import (
	"time"

	"lentilmux.example/lentilmux/table"
)

// Choose finds a route for r without sending it. It is for benchmarks.
func (s *Schedule) Choose(r *table.Request, now time.Time) bool {
	for _, system := range s.systems {
		if assign, ok := system.(*AssignRoutes); ok {
			return assign.chooseRoute(s.tables, now, r)
		}
	}
	return false
}
