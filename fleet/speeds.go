package fleet

import (
	"fmt"
	"math"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// speedHalfLife is the time in which the weight of a measured answer halves. An
	// upstream that is slow for a while is tried again within some half-lives.
	speedHalfLife = 30 * time.Second
	// minSpeedWeight is the weight of answers from which on a ratio is used.
	minSpeedWeight = 6
	// unitSpeedWeight is the weight with which a ratio is drawn to 1, in answers.
	unitSpeedWeight = 3
	// maxSpeedWeight bounds the weight of what a digest tells, so that a false one is
	// outweighed within some minutes by the answers that a VM measures itself.
	maxSpeedWeight = 127
	// maxSpeedRatio bounds ratios, and their inverse.
	maxSpeedRatio = 8
	// speedGain is the part of the difference between the measured and the expected
	// time of a path that its hops take over. Paths have ten hops, so that a smaller
	// part than 0.3 takes more than a hundred answers.
	speedGain = 0.3
	// pauseGain is speedGain for pauses. It is smaller, since a stream is paused or not.
	pauseGain = 0.1
	// minPause is the pause from which on a stream counts as paused, on a route without
	// a target for it. Streams that are read again pause for longer.
	minPause = 150 * time.Millisecond
	// minPauseGaps is the same in expected gaps between events.
	minPauseGaps = 4
	// loggedSpeedChange is the factor by which a ratio changes before it is logged again.
	loggedSpeedChange = 1.5
	// minGaps is the number of gaps between events from which on their mean is used.
	minGaps = 4
)

// SpeedState is the ratio of the measured time of an upstream to the expected one, as
// learned from answers.
type SpeedState struct {
	lentilmux.UpstreamSpeed
	At       time.Time // of the weight
	Slowdown float64   // that the upstream reported when the ratios were learned; 0 if it is not known
}

// HopCost is the time that a request was expected to take at one upstream, if the
// upstream ran as its accelerator does with the slowdown that it reports.
type HopCost struct {
	Gap     float64 // seconds of each gap between two events
	Prefill float64 // seconds of the prefill
}

// learnedFigure is a figure of upstreams that is learned from a sum over the hops of a
// path.
type learnedFigure struct {
	cost      func(cost *HopCost) float64      // factor of an upstream's figure in the sum
	value     func(speed *SpeedState) *float64 // the figure of an upstream
	low, high float64                          // bounds
	gain      float64                          // part of a difference that is taken over
}

// The figures that are learned.
var (
	stepFigure = learnedFigure{
		cost: func(cost *HopCost) float64 { return cost.Gap }, value: func(speed *SpeedState) *float64 { return &speed.Step }, low: 1.0 / maxSpeedRatio, high: maxSpeedRatio, gain: speedGain,
	}
	prefillFigure = learnedFigure{
		cost: func(cost *HopCost) float64 { return cost.Prefill }, value: func(speed *SpeedState) *float64 { return &speed.Prefill }, low: 1.0 / maxSpeedRatio, high: maxSpeedRatio, gain: speedGain,
	}
	pauseFigure = learnedFigure{
		cost: func(*HopCost) float64 { return 1 }, value: func(speed *SpeedState) *float64 { return &speed.Pauses }, high: 1, gain: pauseGain,
	}
)

// weightAt returns the decayed weight of a state.
func (s *SpeedState) weightAt(now time.Time) (weight float64) {
	return s.Weight * math.Exp2(-float64(max(now.Sub(s.At), 0))/float64(speedHalfLife))
}

// rebase adjusts a ratio to a changed report. A reported slowdown explains what was
// learned in its direction before, so that it does not count twice.
func (s *SpeedState) rebase(ratio, slowdown float64) (adjusted float64) {
	ratio = boundRatio(ratio)
	if s.Slowdown <= 0 || slowdown <= 0 || s.Slowdown == slowdown {
		return ratio
	}
	explained := ratio * s.Slowdown / slowdown
	if slowdown > s.Slowdown {
		return max(min(ratio, 1), explained)
	}
	return min(max(ratio, 1), explained)
}

// boundRatio bounds a ratio. One that is not positive counts as 1.
func boundRatio(ratio float64) (bounded float64) {
	if !(ratio > 0) {
		return 1
	}
	return min(max(ratio, 1.0/maxSpeedRatio), maxSpeedRatio)
}

// boundShare bounds a share of streams. One that is no number counts as none.
func boundShare(share float64) (bounded float64) {
	if !(share > 0) {
		return 0
	}
	return min(share, 1)
}

// refreshSpeeds brings the ratios in use up to date. A path is chosen more often than
// they change.
func (t *Tables) refreshSpeeds(now time.Time) {
	logs := !t.usesRelays() || t.isRelay(now)
	for _, row := range t.Upstreams.Rows {
		if row.OwnSpeed.Weight > 0 || row.PeerSpeed.Weight > 0 || row.Speed.Weight > 0 {
			row.Speed = row.speed(now)
		}
		if logs && row.Speed.Weight > 0 {
			t.recordSpeed(row)
		}
	}
}

// recordSpeed logs an upstream whose measured speed departs from the one that it
// reports, or no longer does.
func (t *Tables) recordSpeed(row *UpstreamRow) {
	logged := row.LoggedStep
	if logged == 0 {
		logged = 1
	}
	if change := row.Speed.Step / logged; change < loggedSpeedChange && change > 1/loggedSpeedChange {
		return
	}
	row.LoggedStep = row.Speed.Step
	t.RecordDecision(lentilmux.Decision{
		What: "upstream_speed_learned", Subject: row.ID, Chosen: fmt.Sprintf("%.2f", row.Speed.Step),
		// prefill is the same ratio of prefill, paused the part of the streams that it
		// paused, and answers the weight of the answers that were measured.
		Reason: fmt.Sprintf("previously %.2f, reported=%.2f prefill=%.2f paused=%.2f answers=%.0f", logged, row.Slowdown, row.Speed.Prefill, row.Speed.Pauses, row.Speed.Weight),
	})
}

// speed returns the ratios that are expected of an upstream, by what this VM and its
// peers measured, without weight until enough answers were measured. They return to 1
// as these age.
func (u *UpstreamRow) speed(now time.Time) (speed lentilmux.UpstreamSpeed) {
	own, peers := u.OwnSpeed.weightAt(now), u.PeerSpeed.weightAt(now)
	weight := own + peers
	if weight < minSpeedWeight {
		return lentilmux.UpstreamSpeed{}
	}
	mean := func(ownRatio, peerRatio float64) float64 {
		sum := own*u.OwnSpeed.rebase(ownRatio, u.Slowdown) + peers*u.PeerSpeed.rebase(peerRatio, u.Slowdown) + unitSpeedWeight
		return boundRatio(sum / (weight + unitSpeedWeight))
	}
	pauses := (own*boundShare(u.OwnSpeed.Pauses) + peers*boundShare(u.PeerSpeed.Pauses)) / (weight + unitSpeedWeight)
	return lentilmux.UpstreamSpeed{Step: mean(u.OwnSpeed.Step, u.PeerSpeed.Step), Prefill: mean(u.OwnSpeed.Prefill, u.PeerSpeed.Prefill), Pauses: pauses, Weight: weight}
}

// addSpeed multiplies the factors of a node by the learned ratios of its upstream, and
// sets the share of its streams that it pauses.
func (u *UpstreamRow) addSpeed(node *lentilmux.PathNode) {
	node.StepFactor *= u.Speed.Step
	node.PrefillFactor *= u.Speed.Prefill
	node.PauseShare = u.Speed.Pauses
}

// setHopCosts records in its reservations what a request was expected to take at each
// hop of its path, without the learned ratios.
func (a *AdmitRequests) setHopCosts(request *RequestRow, hops []lentilmux.PathHop, estimate lentilmux.PathEstimate) {
	var gaps, prefills float64
	for _, hop := range hops {
		node := &a.nodes[hop.Node]
		gaps += node.StepFactor * float64(hop.Layers.Len())
		prefills += node.PrefillFactor * float64(hop.Layers.Len())
	}
	if !(gaps > 0) || !(prefills > 0) {
		return
	}
	prefill := (estimate.TimeToFirstEvent - estimate.EventGap).Seconds()
	for i, hop := range hops {
		node, speed := &a.nodes[hop.Node], a.rows[hop.Node].Speed
		if !(speed.Weight > 0) {
			speed.Step, speed.Prefill = 1, 1
		}
		layers := float64(hop.Layers.Len())
		request.Reservations[i].Cost = HopCost{
			Gap:     estimate.EventGap.Seconds() * node.StepFactor * layers / gaps / speed.Step,
			Prefill: prefill * node.PrefillFactor * layers / prefills / speed.Prefill,
		}
	}
}

// observeSpeeds learns from the answer to a request how fast the upstreams of its path
// are. An answer of several attempts, or that was moved, tells nothing of one path.
func (t *Tables) observeSpeeds(request *RequestRow, msg lentilmux.ForwardDoneMsg, now time.Time) {
	gaps := msg.Events - 1
	if request.Attempts != 1 || request.Moves > 0 || msg.Outcome != lentilmux.OutcomeAnswered || gaps < minGaps || request.Peer != "" || len(request.Hops) == 0 {
		return
	}
	gap := (msg.Duration - msg.TimeToFirstByte).Seconds() / float64(gaps)
	prefill := msg.WaitedForFirst.Seconds() - request.EventGap.Seconds()
	if gap <= 0 || prefill <= 0 {
		return
	}
	pause := 0.0
	if msg.MaxEventGap > max(request.Route.EventGapTarget, minPause, minPauseGaps*request.EventGap) {
		pause = 1
	}
	t.learn(stepFigure, request.Reservations, gap)
	t.learn(prefillFigure, request.Reservations, prefill)
	t.learn(pauseFigure, request.Reservations, pause)
	for _, reservation := range request.Reservations {
		if row := t.Upstreams.Find(reservation.Upstream); row != nil {
			row.OwnSpeed.Weight, row.OwnSpeed.At = row.OwnSpeed.weightAt(now)+1, now
		}
	}
}

// learn attributes the difference between a measured sum and the one that this VM's own
// figures explain to the hops of a path, in proportion to their factors (normalized
// least mean squares). Hops that are on other paths as well get the difference that
// they cause.
func (t *Tables) learn(figure learnedFigure, reservations []Reservation, measured float64) {
	var explained, sum, squares float64
	for i := range reservations {
		if row := t.Upstreams.Find(reservations[i].Upstream); row != nil {
			row.OwnSpeed.prepare(row.Slowdown)
			cost := figure.cost(&reservations[i].Cost)
			explained += cost * *figure.value(&row.OwnSpeed)
			sum += cost
			squares += cost * cost
		}
	}
	if !(squares > 0) {
		return
	}
	difference := min(max(measured, figure.low*sum), figure.high*sum) - explained
	for i := range reservations {
		if row := t.Upstreams.Find(reservations[i].Upstream); row != nil {
			value := figure.value(&row.OwnSpeed)
			*value = min(max(*value+figure.gain*difference*figure.cost(&reservations[i].Cost)/squares, figure.low), figure.high)
		}
	}
}

// prepare sets ratios that were not learned to 1, and adjusts those that were to a
// changed report.
func (s *SpeedState) prepare(slowdown float64) {
	s.Step, s.Prefill, s.Pauses, s.Slowdown = s.rebase(s.Step, slowdown), s.rebase(s.Prefill, slowdown), boundShare(s.Pauses), slowdown
}

// addPeer includes what a digest tells of an upstream's speed.
func (s *SpeedState) addPeer(speed lentilmux.UpstreamSpeed, slowdown float64, now time.Time) {
	if !(speed.Weight > 0) {
		return
	}
	*s = SpeedState{UpstreamSpeed: mergeSpeeds(s.UpstreamSpeed, speed), At: now, Slowdown: slowdown}
}

// mergeSpeeds returns the mean of two speeds by their weights.
func mergeSpeeds(a, b lentilmux.UpstreamSpeed) (merged lentilmux.UpstreamSpeed) {
	switch {
	case !(a.Weight > 0):
		b.Weight = min(b.Weight, maxSpeedWeight)
		return b
	case !(b.Weight > 0):
		return a
	}
	weight := a.Weight + b.Weight
	mean := func(a1, b1 float64) float64 { return (a1*a.Weight + b1*b.Weight) / weight }
	return lentilmux.UpstreamSpeed{Step: mean(a.Step, b.Step), Prefill: mean(a.Prefill, b.Prefill), Pauses: mean(a.Pauses, b.Pauses), Weight: min(weight, maxSpeedWeight)}
}

// digestSpeed returns what a digest tells of the speed that this VM measured.
func (u *UpstreamRow) digestSpeed(now time.Time) (speed lentilmux.UpstreamSpeed) {
	weight := u.OwnSpeed.weightAt(now)
	if weight < 1 {
		return lentilmux.UpstreamSpeed{}
	}
	return lentilmux.UpstreamSpeed{Step: u.OwnSpeed.rebase(u.OwnSpeed.Step, u.Slowdown), Prefill: u.OwnSpeed.rebase(u.OwnSpeed.Prefill, u.Slowdown), Pauses: u.OwnSpeed.Pauses, Weight: weight}
}
