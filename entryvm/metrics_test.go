package entryvm

import (
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/fleet"
	"lentilmux.example/lentilmux/forward"
)

// decisionCount matches a sample of lentilmux_decisions and captures the value
// of its label what and its count.
var decisionCount = regexp.MustCompile(`^lentilmux_decisions_total\{.*\bwhat="([^"]*)".*\} (\S+)$`)

// countedDecisions returns the samples of lentilmux_decisions that the metrics
// handler serves, by the value of the label what.
func countedDecisions(t *testing.T, m *metrics) (counts map[string]string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	m.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	counts = make(map[string]string)
	for line := range strings.Lines(recorder.Body.String()) {
		if match := decisionCount.FindStringSubmatch(strings.TrimSpace(line)); match != nil {
			counts[match[1]] = match[2]
		}
	}
	return counts
}

// TestDecisionsKeepTheirLabels guards dashboards against a renamed event: a
// decision must be counted under the label value that its event had before the
// rename, and an event that was never renamed under its own name.
func TestDecisionsKeepTheirLabels(t *testing.T) {
	cases := []struct {
		event, label string
	}{
		{"peer_joined", "vm_met"},
		{"peer_lost", "vm_lost"},
		{"upstream_registered", "upstream_met"},
		{"upstream_expired", "upstream_lapsed"},
		{"upstream_ejected", "upstream_shunned"},
		{"upstream_recovered", "upstream_trusted"},
		{"upstream_slowdown_changed", "upstream_pace"},
		{"layers_registered", "layers_held"},
		{"store_unreachable", "store_lost"},
		{"store_reachable", "store_regained"},
		{"read_source_changed", "reads_from"},
		{"attempt_failed", "leg_failed"},
		{"attempt_replaced", "leg_replaced"},
		{"attempt_kept", "leg_waits"},
		{"path_chosen", "path_chosen"},
	}
	for _, c := range cases {
		t.Run(c.event, func(t *testing.T) {
			m, err := newMetrics()
			if err != nil {
				t.Fatal(err)
			}
			m.countDecision(lentilmux.Decision{What: c.event})
			m.countDecision(lentilmux.Decision{What: c.event})
			counts := countedDecisions(t, m)
			if len(counts) != 1 || counts[c.label] != "2" {
				t.Errorf("two decisions %s were counted as %v, want 2 of %s", c.event, counts, c.label)
			}
		})
	}
}

// TestStoreGauges guards the metrics by which operators see VMs that did not notice a
// restore of the store or lack a version of the configuration.
func TestStoreGauges(t *testing.T) {
	m, err := newMetrics()
	if err != nil {
		t.Fatal(err)
	}
	state := &storeState{}
	if err := m.observeStore(state); err != nil {
		t.Fatal(err)
	}
	state.publishRules(21)
	state.publishTimeline(lentilmux.StreamRules, 2)
	state.publishTimeline(lentilmux.StreamUpstreams, 1)
	recorder := httptest.NewRecorder()
	m.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{`lentilmux_rules_version\{.*\} 21`, `lentilmux_store_timeline\{.*stream="rules".*\} 2`, `lentilmux_store_timeline\{.*stream="members".*\} 1`} {
		if !regexp.MustCompile(want).MatchString(recorder.Body.String()) {
			t.Errorf("no sample matches %s in\n%s", want, recorder.Body)
		}
	}
}

// TestReachabilityMetric guards against a VM that has lost its links to all upstreams
// without its metrics saying so.
func TestReachabilityMetric(t *testing.T) {
	g, err := NewGateway(GatewayConfig{Name: "entry-1", Limits: fleet.DefaultLimits(), Logger: logrus.New(), Clock: time.Now}, GatewayDependencies{})
	if err != nil {
		t.Fatal(err)
	}
	for _, reachable := range []bool{false, true} {
		g.Do(lentilmux.ReachabilityEffect{Reachable: reachable})
		recorder := httptest.NewRecorder()
		g.metrics.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		expected := map[bool]string{false: "0", true: "1"}[reachable]
		if !regexp.MustCompile(`(?m)^lentilmux_upstreams_reachable\{.*\} ` + expected + `$`).MatchString(recorder.Body.String()) {
			t.Errorf("reachable=%t is not in the metrics:\n%s", reachable, recorder.Body.String())
		}
	}
}

// TestAnswerRatio guards against answers that are not counted, and answers that were cut
// off being counted as complete ones that were shorter than expected.
func TestAnswerRatio(t *testing.T) {
	m, err := newMetrics()
	if err != nil {
		t.Fatal(err)
	}
	m.countAnswer(lentilmux.AnswerMeasuredEffect{Answer: lentilmux.AnswerLength{Tokens: 300, Complete: true}, ExpectedTokens: 100, Learned: true})
	m.countAnswer(lentilmux.AnswerMeasuredEffect{Answer: lentilmux.AnswerLength{Tokens: 20}, ExpectedTokens: 100, Learned: true})
	m.countAnswer(lentilmux.AnswerMeasuredEffect{Answer: lentilmux.AnswerLength{Tokens: 20}})
	recorder := httptest.NewRecorder()
	m.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, pattern := range []string{
		`lentilmux_answer_ratio_bucket\{complete="true",learned="true",.*le="2"\} 0`, `lentilmux_answer_ratio_bucket\{complete="true",learned="true",.*le="4"\} 1`,
		`lentilmux_answer_ratio_count\{complete="false",learned="true",.*\} 1`,
	} {
		if !regexp.MustCompile(pattern).MatchString(recorder.Body.String()) {
			t.Errorf("no sample like %s in:\n%s", pattern, recorder.Body.String())
		}
	}
	if regexp.MustCompile(`learned="false"`).MatchString(recorder.Body.String()) {
		t.Error("an answer that nothing was expected of is counted")
	}
}

// TestPromiseRatio guards against a promise that is not counted, or counted as kept
// although the request never began.
func TestPromiseRatio(t *testing.T) {
	m, err := newMetrics()
	if err != nil {
		t.Fatal(err)
	}
	m.countForwarded(forward.Result{Promise: forward.Promise{Expected: 100 * time.Millisecond, Actual: 140 * time.Millisecond, Begun: true}})
	m.countForwarded(forward.Result{Promise: forward.Promise{Expected: 100 * time.Millisecond, Actual: 2 * time.Second}})
	m.countForwarded(forward.Result{})
	recorder := httptest.NewRecorder()
	m.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, pattern := range []string{
		`lentilmux_promise_ratio_bucket\{begun="true",.*le="1"\} 0`, `lentilmux_promise_ratio_bucket\{begun="true",.*le="1.5"\} 1`,
		`lentilmux_promise_ratio_count\{begun="true",.*\} 1`, `lentilmux_promise_ratio_bucket\{begun="false",.*le="10"\} 0`, `lentilmux_promise_ratio_count\{begun="false",.*\} 1`,
	} {
		if !regexp.MustCompile(pattern).MatchString(recorder.Body.String()) {
			t.Errorf("no sample like %s", pattern)
		}
	}
}
