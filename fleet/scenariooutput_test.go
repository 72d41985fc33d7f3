package fleet_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
	"lentilmux.example/lentilmux/placement"
)

// show prints the load of this VM and its peers at an upstream, or the last
// digests that were sent.
func (s *scenario) show(name string) {
	if row := s.tables.Upstreams.Find(name); row != nil {
		fmt.Fprintf(&s.out, "         %s: own %d, peers %d streams\n", name, row.OwnLoad.Streams, row.PeerLoad.Streams)
		return
	}
	if name == "retries" {
		for _, budget := range s.tables.RetryBudgets.Rows {
			fmt.Fprintf(&s.out, "         %s: %d retries\n", budget.Service, budget.Retries(s.now, fleet.DefaultLimits().RetryWindow))
		}
		return
	}
	for _, sent := range s.lastDigests {
		fmt.Fprintf(&s.out, "         %s\n", sent)
	}
}

// scopeNames are the names of the digest scopes in the golden files.
var scopeNames = [...]string{"vm", "zone", "fleet"}

// recordDigest records a digest that is sent, so that a show line can print it.
func (s *scenario) recordDigest(effect lentilmux.LoadDigestEffect) {
	text := fmt.Sprintf("digest of %s, %d VMs, to %v:", scopeNames[effect.Digest.Scope], effect.Digest.VMCount, effect.To)
	for _, load := range effect.Digest.Loads {
		text += fmt.Sprintf(" %s %d", s.tables.Upstreams.FindByHash(load.Upstream).ID, load.Streams)
	}
	for _, drain := range effect.Digest.Drains {
		text += fmt.Sprintf(" drain of %s, started at %d, %s ago", s.nameOf(drain.Upstream), drain.StartedAt.Unix(), drain.Age)
	}
	for _, hint := range effect.Digest.BackOffs {
		text += fmt.Sprintf(" back-off of %s for %s", s.nameOf(hint.Upstream), hint.Remaining)
	}
	text += formatShortages(effect.Digest) + formatRefused(effect.Digest)
	if slices.Contains(effect.Digest.IsolatedVMs, lentilmux.HashVM(effect.Digest.VM)) {
		text += " isolated"
	}
	s.lastDigests = append(s.lastDigests, text)
}

// tick runs the model once and prints its effects.
func (s *scenario) tick(now time.Time, batch ...lentilmux.Envelope) {
	effects, nextTick := s.model.Tick(now, batch)
	s.now, s.nextTick = now, nextTick
	if !nextTick.After(now) {
		fmt.Fprintf(&s.out, "  next tick is already due: the control goroutine would spin\n")
		s.nextTick = now.Add(time.Millisecond)
	}
	first := true
	var results []lentilmux.Envelope
	for _, effect := range effects {
		if x, ok := effect.(lentilmux.PlanRangesEffect); ok {
			ranges := placement.ZoneSearch{}.Place(x.Model, x.Zones, x.Nodes)
			results = append(results, lentilmux.Envelope{Msg: lentilmux.RangesPlannedMsg{Service: x.Service, Nodes: x.Nodes, Ranges: ranges}})
		}
		if x, ok := effect.(lentilmux.ConnectEffect); ok {
			results = append(results, s.connectResult(x.Upstream))
		}
		if x, ok := effect.(lentilmux.LoadDigestEffect); ok {
			if first {
				s.lastDigests, first = nil, false
			}
			s.recordDigest(x)
		}
		if text := s.formatEffect(effect); text != "" {
			fmt.Fprintf(&s.out, "%8s %s\n", now.Sub(s.start), text)
		}
	}
	if len(results) > 0 {
		s.tick(now, results...)
	}
}

// formatEffect formats an effect for the golden file, or returns an empty string
// for effects that are not compared.
func (s *scenario) formatEffect(effect lentilmux.Effect) string {
	switch x := effect.(type) {
	case lentilmux.AnswerEffect:
		return s.formatAnswer(x)
	case lentilmux.DecisionEffect:
		return fmt.Sprintf("decided %s %s %s (%s)", x.Decision.What, x.Decision.Subject, x.Decision.Chosen, x.Decision.Reason)
	case lentilmux.RangeOrderEffect:
		return fmt.Sprintf("order %s to load %d-%d after %d accepted orders", x.Upstream, x.Order.Layers.First, x.Order.Layers.Last, x.Order.ExpectedOrders)
	case lentilmux.FetchReportEffect:
		return "fetch report of " + x.Upstream
	case lentilmux.ConnectEffect:
		return "connect to " + x.Upstream
	case lentilmux.MoveEffect:
		return fmt.Sprintf("move %s to %s", x.Request, formatHops(x.Path))
	case lentilmux.ReadinessEffect:
		return fmt.Sprintf("ready=%t %s", x.Ready, x.Reason)
	case lentilmux.PutEffect:
		if x.VM == nil && x.HeldPart == nil {
			return fmt.Sprintf("delete %s from stream %s", x.Key, x.Stream)
		}
		return fmt.Sprintf("put %s in stream %s", x.Key, x.Stream)
	case lentilmux.HeldPartsEffect:
		return fmt.Sprintf("%d held parts", len(x.Parts))
	}
	return ""
}

// formatAnswer formats an answer and records the epoch of a new attempt for
// later events of the request.
func (s *scenario) formatAnswer(x lentilmux.AnswerEffect) string {
	label := s.labels[x.CorrelationID]
	switch answer := x.Answer.(type) {
	case lentilmux.AttemptAnswer:
		s.epochs[string(answer.Attempt.Request)] = answer.Attempt.Epoch
		if answer.Attempt.Peer != "" {
			return fmt.Sprintf("answer %s: attempt %d at peer %s, workspace=%q possible_runs=%d max_upstreams=%d min_rules=%d deadline=%s first_event_timeout=%s", label, answer.Attempt.Epoch, answer.Attempt.Peer, answer.Attempt.Workspace, answer.Attempt.PossibleRuns, answer.Attempt.MaxUpstreams, answer.Attempt.MinRules, answer.Attempt.Deadline.Sub(s.start), answer.Attempt.FirstEventTimeout)
		}
		text := fmt.Sprintf("answer %s: attempt %d to %s %s workspace=%q deadline=%s first_event_timeout=%s", label, answer.Attempt.Epoch, answer.Attempt.Upstream, formatHops(answer.Attempt.Path), answer.Attempt.Workspace, answer.Attempt.Deadline.Sub(s.start), answer.Attempt.FirstEventTimeout)
		if answer.Attempt.HasPriority {
			text += fmt.Sprintf(" priority=%d", answer.Attempt.Priority)
		}
		return text
	case lentilmux.RefusalAnswer:
		text := fmt.Sprintf("answer %s: %s %s", label, answer.Refusal.Outcome, answer.Refusal.Reason)
		if after := answer.Refusal.RetryAfter; answer.Refusal.Reason == lentilmux.ReasonNoUpstream && after != fleet.DefaultLimits().RefusalRetryAfter {
			text += fmt.Sprintf(", retry after %s", after)
		}
		return text
	case lentilmux.ExplainAnswer:
		return "answer " + label + ": " + formatExplanation(&answer)
	case lentilmux.WaitAnswer:
		return fmt.Sprintf("answer %s: wait %s", label, answer.Wait)
	}
	return fmt.Sprintf("answer %s: %T", label, x.Answer)
}

func formatHops(path []lentilmux.Hop) string {
	var texts []string
	for _, hop := range path {
		texts = append(texts, fmt.Sprintf("%s:%d-%d", hop.Upstream, hop.Layers.First, hop.Layers.Last))
	}
	return "[" + strings.Join(texts, " ") + "]"
}

// formatExplanation formats where a request would go, with one line for each upstream.
func formatExplanation(e *lentilmux.ExplainAnswer) (text string) {
	text = fmt.Sprintf("rules=%d route=%s service=%s ranked=%t priority=%d answer_tokens=%d to %s %s", e.Rules, e.Route, e.Service, e.Ranked, e.Priority, e.AnswerTokens, e.Upstream, formatHops(e.Path))
	if e.Refusal != nil {
		text += fmt.Sprintf(" refused %s %s: %s", e.Refusal.Outcome, e.Refusal.Reason, e.Refusal.Detail)
	}
	for _, u := range e.Candidates {
		text += fmt.Sprintf("\n            %s %d-%d streams=%d reserved=%d of %d not_first=%t %s", u.Upstream, u.Layers.First, u.Layers.Last, u.Streams, u.Reserved, u.Capacity, u.NotFirst, u.Excluded)
	}
	return text
}
