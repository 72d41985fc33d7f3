package entryvm_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/caller"
	"lentilmux.example/lentilmux/engine"
	"lentilmux.example/lentilmux/entryvm"
	"lentilmux.example/lentilmux/operator"
	"lentilmux.example/lentilmux/peer"
	"lentilmux.example/lentilmux/platformlog"
	"lentilmux.example/lentilmux/service"
	"lentilmux.example/lentilmux/standin"
	"lentilmux.example/lentilmux/table"
	"lentilmux.example/lentilmux/vmlist"
)

// First port of each kind of listener on loopback, relative to the first port that
// the test uses.
const (
	platformPort = 0
	enginePort   = 10
	callerPort   = 20
	controlPort  = 30
	portCount    = 40
)

// firstPort returns the first of portCount unused ports, the same one on each call.
// They are below the ephemeral range, so that the kernel assigns them to no other
// connection or listener.
var firstPort = sync.OnceValue(func() int {
	for {
		first := 12000 + portCount*rand.IntN(450)
		if arePortsFree(first) {
			return first
		}
	}
})

// arePortsFree reports whether portCount ports from first on are unused.
func arePortsFree(first int) bool {
	for port := first; port < first+portCount; port++ {
		listener, err := net.Listen("tcp", address(port).String())
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// loopbackAddr returns the address of a listener from its relative port.
func loopbackAddr(port int) netip.AddrPort { return address(firstPort() + port) }

// loopback is a system whose parts communicate over TCP, as separate processes
// do: three entry VMs, two engines and the platform.
type loopback struct {
	vms     []*entryvm.VM
	cancels []context.CancelFunc
	stopped []chan error
}

// startLoopback starts all parts without a configuration.
func startLoopback(t *testing.T) *loopback {
	t.Helper()
	list := standin.NewVMList(0)
	var vms []lentilmux.ListedVM
	for i := range 3 {
		vms = append(vms, lentilmux.ListedVM{Name: fmt.Sprint("entry-", i+1), Role: lentilmux.RoleEntry, Addr: loopbackAddr(controlPort + i)})
	}
	list.Set(vms)
	serveHost(t, platformPort, standin.PlatformHandler(standin.NewLog(time.Millisecond), list))
	for i := range 2 {
		worker := standin.NewEngine(standin.EngineSpec{Name: fmt.Sprint("worker-", i+1), MaxLayers: testLayers / 2, LayerStepsPerSecond: 4000, Slots: 8})
		serveHost(t, enginePort+i, standin.EngineHandler(worker))
	}
	l := &loopback{}
	for i := range 3 {
		l.start(t, i)
	}
	return l
}

// serveHost serves a stand-in on a port until the test ends.
func serveHost(t *testing.T, port int, handler http.Handler) {
	t.Helper()
	host := standin.NewHost(loopbackAddr(port), handler)
	if err := host.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
}

// start starts entry VM i with its servers and clients and waits until its
// control port is open.
func (l *loopback) start(t *testing.T, i int) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	limits := table.DefaultLimits()
	limits.DrainGrace = 500 * time.Millisecond
	vm, err := entryvm.New(entryvm.Config{
		Name: fmt.Sprint("entry-", i+1), Zone: "kochi", CallerAddr: loopbackAddr(callerPort + i), ControlAddr: loopbackAddr(controlPort + i),
		PeerKey: "shared", Operators: operator.Keys{Admin: "admin", ReadOnly: "read"},
		Seed: 1, Limits: limits, StopTimeout: time.Minute, Logger: logger,
	}, entryvm.Dependencies{
		Engine: engine.NewClient(), Service: service.NewClient(), Log: platformlog.NewClient(loopbackAddr(platformPort)),
		VMList: vmlist.NewClient(loopbackAddr(platformPort)), Peer: peer.NewClient("shared", nil),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stopped <- vm.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	waitForPort(t, controlPort+i)
	l.vms, l.cancels = append(l.vms, vm), append(l.cancels, cancel)
	l.stopped = append(l.stopped, stopped)
}

// waitForPort waits until a connection to the port succeeds.
func waitForPort(t *testing.T, port int) {
	t.Helper()
	for range 100 {
		connection, err := net.Dial("tcp", loopbackAddr(port).String())
		if err == nil {
			_ = connection.Close()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("nothing listens on port %d", port)
}

// execute sends a statement to entry VM i until it is accepted.
func execute(t *testing.T, i int, statement string) {
	t.Helper()
	client := operator.NewClient([]netip.AddrPort{loopbackAddr(controlPort + i)}, "admin", "test", nil)
	var last string
	for range 100 {
		result, err := client.Execute(t.Context(), statement)
		if err == nil && result.Accepted {
			return
		}
		last = fmt.Sprint(result.Detail, err)
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("%s: %s", statement, last)
}

// streamAnswer requests a streamed completion from entry VM i and returns the
// status and the complete body.
func streamAnswer(t *testing.T, i, tokens int) (status int, body string) {
	t.Helper()
	text := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, testModel, tokens)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+loopbackAddr(callerPort+i).String()+"/v1/chat/completions", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(caller.WorkspaceHeader, "counter")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(data)
}

// TestSystemOnLoopback guards against configuration that does not reach the other
// entry VMs, and against a drain that cuts off a response. It creates a pipeline
// through one entry VM, requires that each VM serves it within five seconds, and
// drains one during a response.
func TestSystemOnLoopback(t *testing.T) {
	l := startLoopback(t)
	for i := range 2 {
		execute(t, 0, fmt.Sprintf("create upstream worker-%d kind engine addr %s zone kochi layers %d rate 4000 slots 8", i+1, loopbackAddr(enginePort+i), testLayers/2))
	}
	execute(t, 0, fmt.Sprintf("create pipeline desk-llm model %s layers %d on worker-1, worker-2", testModel, testLayers))
	execute(t, 0, "create workspace counter share 1 priority 0 uses desk-llm")
	accepted := time.Now()
	for i := range 3 {
		status, body := streamAnswer(t, i, 4)
		for status != http.StatusOK && time.Since(accepted) < configApplyTimeout {
			time.Sleep(50 * time.Millisecond)
			status, body = streamAnswer(t, i, 4)
		}
		if status != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") {
			t.Errorf("entry VM %d answered %d: %s", i+1, status, body)
		}
	}
	ended := make(chan string)
	go func() {
		_, body := streamAnswer(t, 1, 400)
		ended <- body
	}()
	time.Sleep(200 * time.Millisecond)
	l.vms[1].Drain()
	if body := <-ended; !strings.Contains(body, `"completion_tokens":400`) {
		t.Errorf("the drain cut off a response: ...%s", body[max(0, len(body)-200):])
	}
	if err := <-l.stopped[1]; err != nil {
		t.Errorf("the drained entry VM returned %v", err)
	}
}

// TestCredentials guards against access with a wrong or missing key and against
// changes with a read-only key.
func TestCredentials(t *testing.T) {
	startLoopback(t)
	addrs := []netip.AddrPort{loopbackAddr(controlPort)}
	cases := []struct {
		key, statement, want string
	}{
		{"", "show vms", "wrong or missing operator key"},
		{"guess", "show vms", "wrong or missing operator key"},
		{"read", "remove workspace counter", "may only ask"},
		{"read", "show vms", ""},
	}
	for _, c := range cases {
		_, err := operator.NewClient(addrs, c.key, "test", nil).Execute(t.Context(), c.statement)
		if (err == nil) != (c.want == "") || (err != nil && !strings.Contains(err.Error(), c.want)) {
			t.Errorf("key %q, %s: got %v, want %q", c.key, c.statement, err, c.want)
		}
	}
	stranger := peer.NewClient("other", nil)
	if _, err := stranger.Snapshot(t.Context(), addrs[0]); err == nil || !strings.Contains(err.Error(), "peer key") {
		t.Errorf("a peer call with a wrong key returned %v", err)
	}
}
