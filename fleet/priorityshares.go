package fleet

import (
	"math"
	"slices"
	"time"
)

// PriorityShareRow counts the requests of one priority to one service that this VM lately
// served, and those on which it decided: served, or refused for want of room. Older
// requests count less.
type PriorityShareRow struct {
	Service  string
	Priority int
	Decided  float64
	Served   float64
	At       time.Time // of the newest request
}

// PriorityShares is the table of priority shares. It has one row for each priority in use
// of a service.
type PriorityShares struct {
	Rows []PriorityShareRow
}

const (
	// priorityShareWindow is the time in which the weight of a request falls to 1/e. In
	// it a VM decides on some dozens of requests at the load of a large fleet.
	priorityShareWindow = 30 * time.Second
	// minDecided is the weight of requests from which on a share is known.
	minDecided = 2
)

// record counts a request.
func (p *PriorityShares) record(service string, priority int, served bool, now time.Time) {
	for i := range p.Rows {
		row := &p.Rows[i]
		if row.Service == service && row.Priority == priority {
			row.Decided, row.Served = row.weights(now)
			row.add(served, now)
			return
		}
	}
	row := PriorityShareRow{Service: service, Priority: priority}
	row.add(served, now)
	p.Rows = append(p.Rows, row)
}

func (r *PriorityShareRow) add(served bool, now time.Time) {
	r.At = now
	r.Decided++
	if served {
		r.Served++
	}
}

// weights returns the weights of the requests decided and served.
func (r *PriorityShareRow) weights(now time.Time) (decided, served float64) {
	factor := math.Exp(-max(now.Sub(r.At).Seconds(), 0) / priorityShareWindow.Seconds())
	return factor * r.Decided, factor * r.Served
}

// Share returns how often requests of a priority are served, relative to all requests of
// the service. It returns 1 if too few are known, or if none is served.
func (p *PriorityShares) Share(service string, priority int, now time.Time) (share float64) {
	var ownDecided, ownServed, allDecided, allServed float64
	for i := range p.Rows {
		row := &p.Rows[i]
		if row.Service != service {
			continue
		}
		decided, served := row.weights(now)
		allDecided, allServed = allDecided+decided, allServed+served
		if row.Priority == priority {
			ownDecided, ownServed = decided, served
		}
	}
	if ownDecided < minDecided || allServed <= 0 {
		return 1
	}
	return ownServed / ownDecided * allDecided / allServed
}

// forgetServices removes what was measured of services that are no longer in the
// configuration.
func (t *Tables) forgetServices() {
	t.PriorityShares.Rows = slices.DeleteFunc(t.PriorityShares.Rows, func(row PriorityShareRow) bool { return t.Rules.Service(row.Service) == nil })
	t.StreamDurations.Rows = slices.DeleteFunc(t.StreamDurations.Rows, func(row StreamDurationRow) bool { return t.Rules.Service(row.Service) == nil })
}
