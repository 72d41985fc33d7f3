package entryvm_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux/caller"
	"lentilmux.example/lentilmux/service"
)

// endOf sends a request to entry VM 1 and describes how it ends for its caller: the
// status and the error, and whether the response is cut.
func endOf(t *testing.T, method, path, key, body string) (description string) {
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+loopbackAddr(callerPort).String()+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return ""
	}
	request.Header.Set(caller.WorkspaceHeader, "counter")
	request.Header.Set(caller.TimeoutHeader, "600000") // so that admission expects them to end in time on a busy machine
	if key != "" {
		request.Header.Set(service.IdempotencyKeyHeader, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	text := string(data)
	description = fmt.Sprint(response.StatusCode)
	if _, event, ok := strings.Cut(text, "event: error\ndata: "); ok {
		description, text = description+" then", event
	}
	var reply struct {
		Error struct{ Type, Outcome string }
	}
	if json.Unmarshal([]byte(text), &reply) == nil && reply.Error.Type != "" {
		description += " " + reply.Error.Type + " " + reply.Error.Outcome
	}
	if err != nil {
		description += ", cut"
	}
	return description
}

// TestEndsOfStop guards against callers that get no answer since the entry VM is told to end at once.
func TestEndsOfStop(t *testing.T) {
	l := startLoopback(t)
	const servicePort = enginePort + 2
	serveHost(t, servicePort, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	for i := range 2 {
		execute(t, 0, fmt.Sprintf("create upstream worker-%d kind engine addr %s zone kochi layers %d rate 4000 slots 8", i+1, loopbackAddr(enginePort+i), testLayers/2))
	}
	execute(t, 0, fmt.Sprintf("create upstream desk-1 kind service addr %s zone kochi slots 16", loopbackAddr(servicePort)))
	execute(t, 0, fmt.Sprintf("create pipeline desk-llm model %s layers %d on worker-1, worker-2", testModel, testLayers))
	execute(t, 0, "create service ticket-app on desk-1 idempotent GET")
	execute(t, 0, "create workspace counter share 1 priority 0 uses desk-llm, ticket-app")
	for began := time.Now(); time.Since(began) < configApplyTimeout; time.Sleep(50 * time.Millisecond) {
		if status, _ := streamAnswer(t, 0, 4); status == http.StatusOK {
			break
		}
	}
	chat := func(stream bool) string {
		return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":8000,"messages":[{"role":"user","content":"hello"}]}`, testModel, stream)
	}
	cases := []struct{ name, method, path, key, body string }{
		{name: "stream", method: "POST", path: "/v1/chat/completions", body: chat(true)},
		{name: "completion", method: "POST", path: "/v1/chat/completions", body: chat(false)},
		{name: "call", method: "POST", path: "/services/ticket-app/x", body: "x"},
		{name: "idempotent call", method: "GET", path: "/services/ticket-app/x"},
		{name: "call with a key", method: "POST", path: "/services/ticket-app/x", key: newIdempotencyKey(), body: "x"},
	}
	ends := make([]string, len(cases))
	var running sync.WaitGroup
	for i, c := range cases {
		running.Go(func() { ends[i] = endOf(t, c.method, c.path, c.key, c.body) })
	}
	time.Sleep(500 * time.Millisecond)
	l.cancels[0]()
	running.Wait()
	var out strings.Builder
	for i, c := range cases {
		fmt.Fprintf(&out, "%s: %s\n", c.name, ends[i])
	}
	goldie.New(t).Assert(t, "ends_of_stop", []byte(out.String()))
}
