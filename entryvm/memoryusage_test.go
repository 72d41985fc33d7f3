package entryvm

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/memory"
)

// memorySample matches a sample of a metric of the memory budget and captures its name,
// class and value.
var memorySample = regexp.MustCompile(`^(lentilmux_memory_\w+)\{(?:class="(\w+)",)?.*\} (\S+)$`)

// TestMemoryRefusalsAreShown guards against refusals of memory that operators cannot
// trace to the upstream that holds it, a line for each of them, and keys in the log.
func TestMemoryRefusalsAreShown(t *testing.T) {
	var out strings.Builder
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	budget := memory.NewBudget(4 << 20)
	refusals := &refusalLog{budget: budget, clock: func() time.Time { return now }, log: func(d lentilmux.Decision) {
		fmt.Fprintf(&out, "%s %s %s (%s)\n", d.What, d.Subject, d.Chosen, d.Reason)
	}}
	budget.OnRefusal(refusals.record)
	m, err := newMetrics()
	if err != nil {
		t.Fatal(err)
	}
	if err := m.observeMemory(budget); err != nil {
		t.Fatal(err)
	}
	for _, size := range []int64{1 << 20, 2 << 20, 3 << 20} {
		_ = budget.Open(lentilmux.MemoryHolder{Name: "w1"}).Hold(size)
	}
	_ = budget.Open(lentilmux.MemoryHolder{Class: lentilmux.MemoryBodies, Name: "secret"}).Hold(3 << 20)
	now = now.Add(refusalLogInterval)
	_ = budget.Open(lentilmux.MemoryHolder{Name: "w2"}).Hold(3 << 20)
	recorder := httptest.NewRecorder()
	m.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for line := range strings.Lines(recorder.Body.String()) {
		if match := memorySample.FindStringSubmatch(strings.TrimSpace(line)); match != nil {
			fmt.Fprintln(&out, strings.Join(match[1:], " "))
		}
	}
	goldie.New(t).Assert(t, "memory_refusals", []byte(out.String()))
}

// TestConnectionsAreCounted guards against connections that still take room in the memory
// budget after their end, or never take any.
func TestConnectionsAreCounted(t *testing.T) {
	budget := memory.NewBudget(connectionBytes)
	g := &Gateway{dependencies: GatewayDependencies{Memory: budget}}
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	g.countConnections(server.Config)
	server.Start()
	defer server.Close()
	client := server.Client()
	waitCapacity := func(want int64) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); budget.Usage().Capacity != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("capacity %d, want %d", budget.Usage().Capacity, want)
			}
		}
	}
	for range 3 {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	waitCapacity(connectionBytes / 2)
	response, err := client.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	client.CloseIdleConnections()
	waitCapacity(connectionBytes / 2)
	server.CloseClientConnections()
	waitCapacity(connectionBytes)
}
