package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	limitWindow    = 4 * time.Second        // in which arrivals at a limited upstream are counted
	limitFactor    = 1.5                    // arrivals allowed in a window, as a multiple of the limit
	limitSlack     = 5                      // arrivals allowed in addition
	limitKnown     = 500 * time.Millisecond // after which a VM that got an answer with the limit has to keep to it
	limitedFrom    = 4 * time.Second
	limitedUntil   = 30 * time.Second
	limitedPlayEnd = 34 * time.Second
)

// requestLimitCase is a fleet of which some upstreams name a limit.
type requestLimitCase struct {
	name           string
	vms, pairs     int
	seeds          uint64
	perSecond      int     // requests of callers
	limited        float64 // part of the first hops that name a limit
	limit          float64 // requests a second
	change         float64 // factor between the limits of successive answers; 1 if they don't change
	uneven         bool    // whether half of the requests reach one VM
	restart        bool    // whether VMs restart
	servedAtLeast  float64 // part of the requests that begin at their first attempt from contactTime after the limits begin
	limitedAtLeast float64 // arrivals that limited upstreams get, as a part of their limit
}

// TestRequestLimits guards against upstreams that get more requests than the limit
// that they name, and against VMs that keep to it by refusing callers although
// there is room.
func TestRequestLimits(t *testing.T) {
	for _, c := range []requestLimitCase{
		{name: "mesh", vms: 6, pairs: 6, seeds: 6, perSecond: 80, limited: 0.7, limit: 7, change: 1, servedAtLeast: 0.95},
		{name: "all limited", vms: 6, pairs: 6, seeds: 6, perSecond: 60, limited: 1, limit: 14, change: 1, servedAtLeast: 0.85, limitedAtLeast: 0.6},
		{name: "uneven", vms: 6, pairs: 6, seeds: 6, perSecond: 60, limited: 1, limit: 14, change: 1, uneven: true, servedAtLeast: 0.75, limitedAtLeast: 0.5},
		{name: "below one", vms: 6, pairs: 6, seeds: 6, perSecond: 80, limited: 0.7, limit: 0.3, change: 1, servedAtLeast: 0.95},
		{name: "none", vms: 6, pairs: 6, seeds: 6, perSecond: 80, limited: 0.7, limit: 0, change: 1, servedAtLeast: 0.95},
		{name: "below one, uneven", vms: 4, pairs: 6, seeds: 6, perSecond: 80, limited: 0.7, limit: 0.3, change: 1, uneven: true, servedAtLeast: 0.95},
		{name: "above the load", vms: 6, pairs: 6, seeds: 2, perSecond: 80, limited: 1, limit: 5000, change: 1, servedAtLeast: 0.99},
		{name: "changing", vms: 6, pairs: 6, seeds: 6, perSecond: 80, limited: 0.7, limit: 7, change: 1.3, servedAtLeast: 0.95},
		{name: "one VM", vms: 1, pairs: 6, seeds: 4, perSecond: 60, limited: 0.7, limit: 5, change: 1, servedAtLeast: 0.95},
		{name: "restarts", vms: 6, pairs: 6, seeds: 6, perSecond: 80, limited: 0.7, limit: 7, change: 1, restart: true, servedAtLeast: 0.9},
		{name: "relays", vms: 60, pairs: 30, seeds: 2, perSecond: 300, limited: 0.7, limit: 4, change: 1, servedAtLeast: 0.9},
		{name: "relays, low", vms: 60, pairs: 30, seeds: 2, perSecond: 300, limited: 0.7, limit: 0.4, change: 1, servedAtLeast: 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range c.seeds {
				playRequestLimits(t, c, seed)
			}
		})
	}
}

// limitArrival is a request that a VM sent to a limited upstream although it knew
// the limit.
type limitArrival struct {
	at time.Time
}

// playRequestLimits plays a case and checks the arrivals at each limited upstream
// and the requests served.
func playRequestLimits(t *testing.T, c requestLimitCase, seed uint64) {
	t.Helper()
	s := newSimulation(t, seed, c.vms, c.pairs)
	if c.uneven {
		s.pickVM = func() *simulatedVM {
			if s.random.IntN(2) == 0 {
				return s.vms[0]
			}
			return s.vms[s.random.IntN(len(s.vms))]
		}
	}
	limited := limitUpstreams(s, c)
	told := make(map[*simulatedUpstream]map[*simulatedVM]time.Time)
	s.onLimit = func(vm *simulatedVM, upstream *simulatedUpstream) {
		if told[upstream] == nil {
			told[upstream] = make(map[*simulatedVM]time.Time)
		}
		if _, ok := told[upstream][vm]; !ok {
			told[upstream][vm] = s.now
		}
	}
	counted, arrivals := make(map[*simulatedUpstream][]limitArrival), 0
	s.onSend = func(request *simulatedRequest, upstream *simulatedUpstream) {
		now := s.now.Sub(s.start)
		if !limited[upstream] || now < limitedFrom+contactTime || now > limitedUntil {
			return
		}
		arrivals++
		knownSince, known := told[upstream][request.vm]
		if known && s.now.Sub(knownSince) >= limitKnown && s.now.Sub(request.vm.startedAt) > contactTime {
			counted[upstream] = append(counted[upstream], limitArrival{at: s.now})
		}
	}
	for at := time.Second; at < limitedPlayEnd; at += time.Second / time.Duration(c.perSecond) {
		s.after(at+time.Duration(s.random.IntN(100))*time.Millisecond, func() { s.request() })
	}
	if c.restart {
		for i := range s.vms {
			s.after(limitedFrom+time.Duration(6+3*i)*time.Second, func() { s.startVM(s.vms[i], s.vms[i].model.Tables().Self.Zone); s.introduce(s.vms[i]) })
		}
	}
	s.run(limitedPlayEnd)
	label := fmt.Sprintf("%s, seed %d", c.name, seed)
	for upstream, sent := range counted {
		checkLimitWindows(t, label, upstream, c.limit, sent)
	}
	span := (limitedUntil - limitedFrom - contactTime).Seconds()
	if part := float64(arrivals) / (c.limit * span * float64(len(limited))); c.limitedAtLeast > 0 && part < c.limitedAtLeast {
		t.Errorf("%s: limited upstreams got %.2f of what they take; expected at least %.2f", label, part, c.limitedAtLeast)
	}
	checkServed(t, s, label, c.servedAtLeast)
}

// limitUpstreams lets a part of the first hops name the limit.
func limitUpstreams(s *simulation, c requestLimitCase) (limited map[*simulatedUpstream]bool) {
	limited = make(map[*simulatedUpstream]bool)
	for i := 0; i < len(s.upstreams); i += 2 {
		if float64(len(limited)) >= c.limited*float64(c.pairs) {
			break
		}
		upstream, answers := s.upstreams[i], 0
		limited[upstream] = true
		upstream.limit = func() (limit lentilmux.RequestLimit) {
			if now := s.now.Sub(s.start); now < limitedFrom || now > limitedUntil {
				return limit
			}
			answers++
			limit = lentilmux.RequestLimit{Named: true, PerSecond: c.limit}
			if answers%2 == 0 {
				limit.PerSecond *= c.change
			}
			return limit
		}
	}
	return limited
}

// checkLimitWindows checks the arrivals in each window that begins with one.
func checkLimitWindows(t *testing.T, label string, upstream *simulatedUpstream, limit float64, sent []limitArrival) {
	t.Helper()
	allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
	for i := range sent {
		inWindow := 0
		for _, arrival := range sent[i:] {
			if arrival.at.Sub(sent[i].at) < limitWindow {
				inWindow++
			}
		}
		if float64(inWindow) > allowed {
			t.Errorf("%s: %s got %d requests in %s; allowed are %.0f", label, upstream.record.ID, inWindow, limitWindow, allowed)
			return
		}
	}
}

// checkServed checks the part of the requests that began at their first attempt
// while the limits were in force, and that all did after them.
func checkServed(t *testing.T, s *simulation, label string, atLeast float64) {
	t.Helper()
	beside, began, after, beganAfter := 0, 0, 0, 0
	for _, request := range s.requests {
		switch arrived := request.inbound.ReceivedAt.Sub(s.start); {
		case arrived > limitedFrom+contactTime && arrived < limitedUntil:
			beside++
			began += count(request.began)
		case arrived > limitedUntil+2*time.Second && arrived < limitedPlayEnd-time.Second:
			after++
			beganAfter += count(request.began)
		}
	}
	if float64(began) < atLeast*float64(beside) {
		t.Errorf("%s: %d of %d requests began at once beside limits; expected at least %.2f", label, began, beside, atLeast)
	}
	if float64(beganAfter) < 0.95*float64(after) {
		t.Errorf("%s: %d of %d requests began at once after the limits had ended", label, beganAfter, after)
	}
}
