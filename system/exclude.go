package system

import (
	"fmt"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

const (
	// replaceThreshold is the share of the live engines' potential throughput
	// below which a pipeline is placed again over them.
	replaceThreshold = 0.85
	// replaceCheckInterval is the time between two checks of the pipelines.
	replaceCheckInterval = 250 * time.Millisecond
	// minReplaceInterval is the minimum time between two placements of a
	// pipeline.
	minReplaceInterval = 10 * time.Second
)

// ExcludeDeadEngines excludes engines that stay dead from the placement of
// their pipelines, if the pipelines can carry more without them, and includes
// the engines that it excluded after they recover. It reads Pipelines and
// Upstreams and writes Pipelines and the commands that it appends to the log.
//
// Only the entry VM with the lowest name does so. It appends the same commands
// that an operator would use, so they are decided in log order together with
// those of operators, and the history shows them.
type ExcludeDeadEngines struct {
	reachesSince time.Time // since when some engine answers this VM; zero while none does
}

// Run implements [System].
func (s *ExcludeDeadEngines) Run(t *table.Tables, now time.Time) {
	if !t.Due(&t.Timers.Replacement, now, replaceCheckInterval) {
		return
	}
	s.trackReach(t, now)
	if !t.Self.Synced || !t.Streams.Config.Healthy() || !hasLowestName(t, now, t.Limits.OwnerTimeout) {
		return
	}
	for i := range t.Pipelines.Rows {
		p := &t.Pipelines.Rows[i]
		if now.Sub(p.PlacedAt) >= minReplaceInterval {
			s.replaceEngines(t, now, p)
		}
	}
}

// replaceEngines excludes the engines of a pipeline that have been dead for the
// replacement delay, if the pipeline is below its potential; otherwise it
// includes recovered engines that it excluded before.
func (s *ExcludeDeadEngines) replaceEngines(t *table.Tables, now time.Time, p *table.Pipeline) {
	delay := t.Limits.ReplacementDelay
	if p.MaxThroughput == 0 {
		delay = t.Limits.BrokenReplacementDelay
	}
	if p.MaxThroughput < replaceThreshold*s.potentialThroughput(t, p) {
		s.appendCommands(t, now, p, lentilmux.VerbExclude, func(u *table.Upstream) bool {
			return !u.Spec.Excluded && s.ejectedFor(t, now, u, delay)
		})
		return
	}
	s.appendCommands(t, now, p, lentilmux.VerbInclude, func(u *table.Upstream) bool {
		return u.Spec.Excluded && u.Spec.Automatic && u.EjectedUntil.IsZero() &&
			now.Sub(u.ReturnedAt) >= t.Limits.ReplacementDelay && now.Sub(u.ReportedAt) < t.Limits.ReplacementDelay
	})
}

// trackReach records since when some engine answers this VM. If none does, the links of
// this VM may be the cause, and how long an engine has been ejected proves nothing.
func (s *ExcludeDeadEngines) trackReach(t *table.Tables, now time.Time) {
	reaches := slices.ContainsFunc(t.Upstreams.Rows, func(u table.Upstream) bool {
		return u.Spec.Kind == lentilmux.KindEngine && u.EjectedUntil.IsZero()
	})
	switch {
	case !reaches:
		s.reachesSince = time.Time{}
	case s.reachesSince.IsZero():
		s.reachesSince = now
	}
}

// potentialThroughput returns the tokens per second that the live engines of a
// pipeline could make if its layers were spread evenly over them.
func (s *ExcludeDeadEngines) potentialThroughput(t *table.Tables, p *table.Pipeline) float64 {
	layerStepsPerSecond := 0
	for _, name := range p.Spec.Upstreams {
		u := t.Upstreams.Find(name)
		if u != nil && !u.Spec.Excluded && u.EjectedUntil.IsZero() && !u.ReportedAt.IsZero() {
			layerStepsPerSecond += u.Spec.LayerStepsPerSecond
		}
	}
	return float64(layerStepsPerSecond) / float64(p.Spec.Layers)
}

// ejectedFor reports whether an engine has been ejected for at least the delay, in
// which other engines answered this VM.
func (s *ExcludeDeadEngines) ejectedFor(t *table.Tables, now time.Time, u *table.Upstream, delay time.Duration) bool {
	if u.EjectedUntil.IsZero() || s.reachesSince.IsZero() {
		return false
	}
	return now.Sub(later(u.EjectedAt, s.reachesSince)) >= delay
}

// appendCommands appends a command with the verb for each engine of the
// pipeline that matches.
func (s *ExcludeDeadEngines) appendCommands(t *table.Tables, now time.Time, p *table.Pipeline, verb lentilmux.Verb, match func(u *table.Upstream) bool) {
	for _, name := range p.Spec.Upstreams {
		u := t.Upstreams.Find(name)
		if u == nil || !match(u) {
			continue
		}
		command := lentilmux.Command{
			Verb: verb, Entity: lentilmux.EntityUpstream, Name: name, IfRevision: u.Spec.Revision, Automatic: true,
		}
		if checkCommand(t, command) != nil {
			continue // the remaining engines could not hold the model
		}
		p.PlacedAt = now
		text := fmt.Sprintf("%s upstream %s", verb, name)
		t.RecordDecision(now, lentilmux.Decision{
			What: "replace", Subject: p.Spec.Name, Chosen: text,
			Reason: fmt.Sprintf("bound %.0f tokens/s, live engines could carry %.0f", p.MaxThroughput, s.potentialThroughput(t, p)),
		})
		t.AddEffect(lentilmux.ConfigAppendEffect{Record: lentilmux.ConfigRecord{
			ID: fmt.Sprintf("%s-%s-%d", verb, name, u.Spec.Revision), Who: t.Self.Name, Text: text, Command: &command,
		}})
	}
}
