package entryvm

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

const (
	// explainPath tells where a request would go now, as JSON, without sending it. The
	// request is given by the query parameters host, path, workspace, prompt_tokens,
	// max_tokens and expected_tokens.
	explainPath = "/explain"
	// explainTimeout bounds the wait for the node's answer.
	explainTimeout = 2 * time.Second
	// explainDeadline is the time that the caller of an explained request would wait.
	explainDeadline = 20 * time.Second
	// maxExplainedTokens bounds the tokens of an explained request.
	maxExplainedTokens = 1 << 24
)

// explainView is an explanation as operators see it. Durations are in milliseconds.
type explainView struct {
	VM             string                  `json:"vm"`
	Rules          uint64                  `json:"rules"`
	RulesAge       int64                   `json:"rules_age_ms"`
	LoadsAge       *int64                  `json:"loads_age_ms"` // null without a digest of another VM
	Route          string                  `json:"route"`
	Service        string                  `json:"service"`
	Priority       *int                    `json:"priority"` // null if requests are not ranked
	Decision       string                  `json:"decision"` // send, forward or refuse
	Reason         string                  `json:"reason"`
	RetryAfter     int64                   `json:"retry_after_ms"`
	Upstream       string                  `json:"upstream"`
	Path           []explainedHop          `json:"path"`
	FirstEvent     int64                   `json:"first_event_ms"`
	EventGap       int64                   `json:"event_gap_ms"`
	MaxMemoryUse   float64                 `json:"max_memory_use"`
	AnswerTokens   int                     `json:"answer_tokens"`
	Learned        bool                    `json:"answer_tokens_learned"`
	UnseenRequests float64                 `json:"unseen_requests"`
	Upstreams      []explainedUpstreamView `json:"upstreams"`
}

// explainedHop is a hop of a path as operators see it.
type explainedHop struct {
	Upstream string `json:"upstream"`
	Layers   string `json:"layers"`
}

// explainedUpstreamView is an upstream of an explanation as operators see it.
type explainedUpstreamView struct {
	Upstream   string  `json:"upstream"`
	Zone       string  `json:"zone"`
	Layers     string  `json:"layers"`
	Streams    int     `json:"streams"`
	MemoryUse  float64 `json:"memory_use"`
	StepFactor float64 `json:"step_factor"`
	NotFirst   bool    `json:"not_first"`
	Excluded   string  `json:"excluded"`
}

// explain serves where a request would go now. It answers 400 for a parameter that is
// not valid and 503 if the node does not answer.
func (g *Gateway) explain(w http.ResponseWriter, r *http.Request) {
	msg, err := parseExplainQuery(r.URL.Query(), g.config.Clock())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	answer, err := g.node.Ask(ctx, msg)
	explanation, ok := answer.(lentilmux.ExplainAnswer)
	if err != nil || !ok {
		http.Error(w, "the VM did not answer in time", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newExplainView(&explanation)) // fails only if the client has disconnected
}

// parseExplainQuery parses the query parameters of an explanation.
func parseExplainQuery(query url.Values, now time.Time) (msg lentilmux.ExplainMsg, err error) {
	msg = lentilmux.ExplainMsg{
		Workspace: query.Get("workspace"),
		Inbound: lentilmux.InboundRequest{
			ID: "explain", Host: query.Get("host"), Path: query.Get("path"), ReceivedAt: now, Deadline: now.Add(explainDeadline), ResumeAfter: -1,
		},
	}
	if msg.Inbound.Host == "" || msg.Inbound.Path == "" {
		return msg, errors.Errorf("query parameters host and path must not be empty")
	}
	for name, value := range map[string]*int{"prompt_tokens": &msg.Inbound.PromptTokens, "max_tokens": &msg.Inbound.MaxTokens, "expected_tokens": &msg.Inbound.ExpectedTokens} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		if *value, err = strconv.Atoi(text); err != nil || *value < 0 || *value > maxExplainedTokens {
			return msg, errors.Errorf("query parameter %s is %q; expected a number from 0 to %d", name, text, maxExplainedTokens)
		}
	}
	return msg, nil
}

// newExplainView returns an explanation as operators see it.
func newExplainView(e *lentilmux.ExplainAnswer) (view explainView) {
	view = explainView{
		VM: e.VM, Rules: uint64(e.Rules), RulesAge: e.RulesAge.Milliseconds(), Route: e.Route, Service: e.Service, Decision: "send", Upstream: e.Upstream,
		FirstEvent: e.FirstEvent.Milliseconds(), EventGap: e.EventGap.Milliseconds(), MaxMemoryUse: e.MaxMemoryUse,
		AnswerTokens: e.AnswerTokens, Learned: e.Learned, UnseenRequests: e.UnseenRequests,
		Path: []explainedHop{}, Upstreams: []explainedUpstreamView{},
	}
	if age := e.LoadsAge.Milliseconds(); e.LoadsAge >= 0 {
		view.LoadsAge = &age
	}
	if e.Ranked {
		view.Priority = &e.Priority
	}
	switch {
	case e.ToPeer:
		view.Decision, view.Reason = "forward", "the links of this VM are in doubt; a peer decides"
	case e.Refusal != nil:
		view.Decision, view.Reason, view.RetryAfter = "refuse", string(e.Refusal.Reason)+": "+e.Refusal.Detail, e.Refusal.RetryAfter.Milliseconds()
	}
	for _, hop := range e.Path {
		view.Path = append(view.Path, explainedHop{Upstream: hop.Upstream, Layers: formatLayerRange(hop.Layers)})
	}
	for i := range e.Candidates {
		view.Upstreams = append(view.Upstreams, newExplainedUpstreamView(&e.Candidates[i]))
	}
	return view
}

// newExplainedUpstreamView returns an upstream of an explanation as operators see it.
func newExplainedUpstreamView(u *lentilmux.ExplainedUpstream) (view explainedUpstreamView) {
	view = explainedUpstreamView{Upstream: u.Upstream, Zone: u.Zone, Streams: u.Streams, StepFactor: u.StepFactor, NotFirst: u.NotFirst, Excluded: u.Excluded}
	if u.HasLayers {
		view.Layers = formatLayerRange(u.Layers)
	}
	if u.Capacity > 0 {
		view.MemoryUse = float64(u.Reserved) / float64(u.Capacity)
	}
	return view
}

// formatLayerRange formats a layer range, or "none" for an empty one.
func formatLayerRange(layers lentilmux.LayerRange) (text string) {
	if layers.Len() <= 0 {
		return "none"
	}
	return fmt.Sprintf("%d-%d", layers.First, layers.Last)
}
