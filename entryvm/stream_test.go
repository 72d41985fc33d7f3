package entryvm_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stream asks for a streamed answer and returns its events.
func (c *cluster) stream(m *member, text string, tokens string, timeout time.Duration) string {
	body := `{"model":"` + testModel + `","stream":true,"max_tokens":` + tokens + `,"messages":[{"role":"user","content":"` + text + `"}]}`
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	return c.do(m, request, timeout).Body
}

func TestStreamThatStopsShortHasNoEndMark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.stopAll()
		whole := c.stream(c.vms[0], "hello", "5", 5*time.Second)
		if !strings.Contains(whole, `"completion_tokens":5`) || !strings.HasSuffix(whole, "data: [DONE]\n\n") {
			t.Fatalf("a whole answer lacks its end mark: %s", whole)
		}
		short := make(chan string)
		go func() { short <- c.stream(c.vms[0], "hello", "500", 5*time.Second) }()
		time.Sleep(500 * time.Millisecond)
		for _, worker := range c.workers {
			worker.Kill()
		}
		events := <-short
		if strings.Contains(events, "[DONE]") || strings.Contains(events, `"finish_reason":"stop"`) {
			t.Error("an answer that stopped short was passed off as whole")
		}
		if !strings.Contains(events, "event: error\n") || !strings.Contains(events, `"outcome":"unknown"`) {
			t.Errorf("the caller was not told: ...%s", events[max(0, len(events)-300):])
		}
	})
}

func TestCanceledAnswerLeavesTheEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stopAll()
		done := make(chan response)
		go func() { done <- c.chat(c.vms[0], "long", 5000, time.Second) }()
		if r := <-done; r.Reason != "deadline_exceeded" && r.Reason != "overloaded" {
			t.Errorf("a request past its deadline got %+v", r)
		}
		time.Sleep(time.Second)
		for _, worker := range c.workers {
			report, err := worker.Load(t.Context())
			if err != nil || report.Running+report.Queued > 0 {
				t.Errorf("%s still runs %d, %v", worker.Spec().Name, report.Running+report.Queued, err)
			}
		}
	})
}
