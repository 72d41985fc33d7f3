package entryvm_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// streamChat requests a streamed completion and returns the events of the
// response.
func (c *cluster) streamChat(m *member, text string, tokens string, timeout time.Duration) string {
	body := `{"model":"` + testModel + `","stream":true,"max_tokens":` + tokens + `,"messages":[{"role":"user","content":"` + text + `"}]}`
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	return c.send(m, request, timeout).Body
}

// TestTruncatedStreamHasNoDoneEvent guards against callers that take a truncated
// response for a complete one. When all engines die during a response stream, it
// must end with an error event and without [DONE].
func TestTruncatedStreamHasNoDoneEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.stopAll()
		complete := c.streamChat(c.vms[0], "hello", "5", 5*time.Second)
		if !strings.Contains(complete, `"completion_tokens":5`) || !strings.HasSuffix(complete, "data: [DONE]\n\n") {
			t.Fatalf("a complete stream has no [DONE] event: %s", complete)
		}
		truncated := make(chan string)
		go func() { truncated <- c.streamChat(c.vms[0], "hello", "500", 5*time.Second) }()
		time.Sleep(500 * time.Millisecond)
		for _, worker := range c.workers {
			worker.Kill()
		}
		events := <-truncated
		if strings.Contains(events, "[DONE]") || strings.Contains(events, `"finish_reason":"stop"`) {
			t.Error("a truncated stream was marked as complete")
		}
		if !strings.Contains(events, "event: error\n") || !strings.Contains(events, `"outcome":"unknown"`) {
			t.Errorf("the stream has no error event: ...%s", events[max(0, len(events)-300):])
		}
	})
}

// TestExpiredRequestIsCanceledOnEngines guards against engines that continue to run
// a request after its deadline.
func TestExpiredRequestIsCanceledOnEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stopAll()
		done := make(chan response)
		go func() { done <- c.chat(c.vms[0], "long", 5000, time.Second) }()
		if r := <-done; r.Reason != "deadline_exceeded" && r.Reason != "overloaded" {
			t.Errorf("a request past its deadline returned %+v", r)
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
