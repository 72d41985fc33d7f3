package entryvm_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/caller"
	"lentilmux.example/lentilmux/entryvm"
	"lentilmux.example/lentilmux/operator"
	"lentilmux.example/lentilmux/standin"
	"lentilmux.example/lentilmux/system"
	"lentilmux.example/lentilmux/table"
)

const (
	testModel   = "lentil"
	testLayers  = 8
	testEngines = 4
	testVMs     = 5
)

// cluster runs several entry VMs in one process against shared stand-ins for
// the platform and the upstreams. It must run inside a testing/synctest bubble,
// whose clock makes sleeps immediate.
type cluster struct {
	t               *testing.T
	log             *standin.Log
	list            *standin.VMList
	engines         *standin.Engines
	workers         []*standin.Engine
	services        standin.Services
	serviceReplicas []*standin.Service
	network         *network
	vms             []*member
	limits          table.Limits
}

// member is one entry VM of a cluster across its restarts.
type member struct {
	name string
	addr netip.AddrPort

	mu      sync.Mutex
	current incarnation
}

// incarnation is one run of a member from start to kill. Its vm is nil after it
// was killed.
type incarnation struct {
	vm     *entryvm.VM
	gate   *gate
	cancel context.CancelFunc
	done   chan struct{} // closed when the VM has stopped
	ctx    context.Context
}

// incarnation returns the current incarnation.
func (m *member) incarnation() incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// running reports whether the member has been started and not killed.
func (m *member) running() bool { return m.incarnation().vm != nil }

// ask sends a message to the current incarnation's node and returns its answer,
// or nil if the member was killed or the node did not answer.
func (m *member) ask(msg lentilmux.Msg) lentilmux.Answer {
	current := m.incarnation()
	if current.vm == nil {
		return nil
	}
	answer, err := current.vm.Node().Ask(current.ctx, msg)
	if err != nil {
		return nil
	}
	return answer
}

// address returns a loopback address.
func address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
}

// newCluster starts count entry VMs, configures a pipeline on four engines and a
// service on two upstreams, and waits until the configuration is applied.
func newCluster(t *testing.T, count int) *cluster {
	c := &cluster{
		t: t, log: standin.NewLog(2 * time.Millisecond), list: standin.NewVMList(time.Second),
		engines: standin.NewEngines(), services: standin.Services{},
		network: &network{
			nodes: make(map[netip.AddrPort]*lentilmux.Node), cuts: make(map[[2]netip.AddrPort]bool), logCuts: make(map[netip.AddrPort]bool),
		},
		limits: table.DefaultLimits(),
	}
	var vms []lentilmux.ListedVM
	for i := range testEngines {
		worker := standin.NewEngine(standin.EngineSpec{Name: fmt.Sprintf("worker-%d", i+1), MaxLayers: testLayers / 2, LayerStepsPerSecond: 2000, Slots: 8, ReportLag: 100 * time.Millisecond})
		c.workers = append(c.workers, worker)
		c.engines.Add(address(9100+i), worker)
		vms = append(vms, lentilmux.ListedVM{Name: worker.Spec().Name, Role: lentilmux.RoleUpstream, Addr: address(9100 + i)})
	}
	for i := range 2 {
		replica := standin.NewService(fmt.Sprintf("desk-%d", i+1), 20*time.Millisecond)
		c.serviceReplicas = append(c.serviceReplicas, replica)
		c.services[address(9200+i)] = replica
		vms = append(vms, lentilmux.ListedVM{Name: fmt.Sprintf("desk-%d", i+1), Role: lentilmux.RoleUpstream, Addr: address(9200 + i)})
	}
	for i := range count {
		m := &member{name: fmt.Sprintf("entry-%d", i+1), addr: address(7000 + i)}
		c.vms = append(c.vms, m)
		vms = append(vms, lentilmux.ListedVM{Name: m.name, Role: lentilmux.RoleEntry, Addr: m.addr})
	}
	c.list.Set(vms)
	for _, m := range c.vms {
		c.start(m)
	}
	c.configure()
	return c
}

// start starts a new incarnation of a member.
func (c *cluster) start(m *member) {
	started := incarnation{gate: &gate{}, done: make(chan struct{})}
	l := &link{cluster: c, gate: started.gate, addr: m.addr}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm, err := entryvm.New(entryvm.Config{
		Name: m.name, Zone: "kochi", ControlAddr: m.addr, Seed: 1, Limits: c.limits, Logger: logger,
		Options: []system.Option{system.WithSystem(started.gate)},
	}, entryvm.Dependencies{Engine: c.engines, Service: l, Log: l, VMList: c.list, Peer: l})
	if err != nil {
		c.t.Fatal(err)
	}
	started.vm = vm
	started.ctx, started.cancel = context.WithCancel(context.Background())
	c.network.set(m.addr, vm.Node())
	m.mu.Lock()
	m.current = started
	m.mu.Unlock()
	go func() {
		defer close(started.done)
		vm.RunNode(started.ctx)
	}()
}

// kill stops a member immediately, which aborts its requests in flight. It does
// nothing if the member is not running.
func (c *cluster) kill(m *member) {
	current := m.incarnation()
	if current.vm == nil {
		return
	}
	c.network.set(m.addr, nil)
	current.cancel()
	current.gate.resume()
	m.mu.Lock()
	m.current.vm = nil
	m.mu.Unlock()
}

// stopAll stops all members and unfreezes the upstreams, so that no goroutine is
// left and the bubble can end.
func (c *cluster) stopAll() {
	for _, worker := range c.workers {
		worker.Thaw()
	}
	for _, replica := range c.serviceReplicas {
		replica.Thaw()
	}
	for _, m := range c.vms {
		c.kill(m)
		<-m.incarnation().done
	}
}

// configure creates the upstreams, the pipeline, the service and the workspace
// through the first member.
func (c *cluster) configure() {
	var statements []string
	var names []string
	for i := range c.workers {
		names = append(names, fmt.Sprintf("worker-%d", i+1))
		statements = append(statements, fmt.Sprintf("create upstream worker-%d kind engine addr %s zone kochi layers %d rate 2000 slots 8", i+1, address(9100+i), testLayers/2))
	}
	for i := range c.serviceReplicas {
		statements = append(statements, fmt.Sprintf("create upstream desk-%d kind service addr %s zone kochi slots 16", i+1, address(9200+i)))
	}
	statements = append(statements,
		fmt.Sprintf("create pipeline desk-llm model %s layers %d on %s", testModel, testLayers, strings.Join(names, ", ")),
		"create service ticket-app on desk-1, desk-2 idempotent GET",
		"create workspace counter share 0.5 priority 0 uses desk-llm, ticket-app")
	time.Sleep(3 * time.Second)
	for _, statement := range statements {
		if answer := c.execute(c.vms[0], statement, uuid.NewString()); !answer.Accepted {
			c.t.Fatalf("%s: %+v", statement, answer)
		}
	}
	time.Sleep(3 * time.Second)
}

// execute executes an operator's command at a member, with id as its
// idempotency ID.
func (c *cluster) execute(m *member, text, id string) (answer lentilmux.CommandAnswer) {
	statement, err := operator.Parse(text)
	if err != nil {
		c.t.Fatal(err)
	}
	command, err := operator.BuildCommand(text, statement, c.snapshot(m))
	if err != nil {
		c.t.Fatal(err)
	}
	answer, _ = m.ask(lentilmux.CommandMsg{
		ID: id, Who: "test", Text: text, Command: command, Deadline: time.Now().Add(5 * time.Second),
	}).(lentilmux.CommandAnswer)
	return answer
}

// snapshot returns the configuration that a member has applied, or an empty one
// if the member does not answer.
func (c *cluster) snapshot(m *member) lentilmux.Snapshot {
	answer, _ := m.ask(lentilmux.SnapshotRequestMsg{}).(lentilmux.SnapshotAnswer)
	return answer.Snapshot
}

// response is a caller's view of the response to a request.
type response struct {
	Status    int
	Outcome   string // answered, not_run, unknown, or empty if the VM was killed
	Reason    string
	Text      string // completion of a model request
	Body      string
	RequestID string
}

// send sends a request to a member and returns the response. It returns an empty
// response if the member was killed in the meantime.
func (c *cluster) send(m *member, request *http.Request, timeout time.Duration) (r response) {
	current := m.incarnation()
	if current.vm == nil {
		return response{}
	}
	ctx, cancel := context.WithTimeout(current.ctx, timeout+5*time.Second)
	defer cancel()
	request.Header.Set(caller.WorkspaceHeader, "counter")
	request.Header.Set(caller.TimeoutHeader, fmt.Sprint(timeout.Milliseconds()))
	recorder := httptest.NewRecorder()
	current.gate.wait()
	serve(current.vm.Handler(), recorder, request.WithContext(ctx))
	current.gate.wait()
	if m.incarnation().vm != current.vm {
		return response{} // the caller's connection broke when the VM was killed
	}
	return parseResponse(recorder)
}

// serve serves a request as an HTTP server does: a handler that aborts the response
// ends only its own request.
func serve(handler http.Handler, recorder *httptest.ResponseRecorder, request *http.Request) {
	defer func() {
		if reason := recover(); reason != nil && reason != http.ErrAbortHandler {
			panic(reason)
		}
	}()
	handler.ServeHTTP(recorder, request)
}

// parseResponse returns the parts of a recorded response that tests check.
func parseResponse(recorder *httptest.ResponseRecorder) (r response) {
	r = response{Status: recorder.Code, Outcome: "answered", Body: recorder.Body.String(), RequestID: recorder.Header().Get(caller.RequestIDHeader)}
	var body struct {
		Error *struct {
			Type    string `json:"type"`
			Outcome string `json:"outcome"`
		} `json:"error"`
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
		return r
	}
	if body.Error != nil {
		r.Outcome, r.Reason = body.Error.Outcome, body.Error.Type
	}
	if len(body.Choices) > 0 {
		r.Text = body.Choices[0].Message.Content
	}
	return r
}

// sendBooking sends a booking, which is not idempotent, with an idempotency key.
// If first is set, the caller marks the request as its first attempt.
func (c *cluster) sendBooking(m *member, key, body string, first bool, timeout time.Duration) response {
	request := httptest.NewRequest(http.MethodPost, "/services/ticket-app/book", strings.NewReader(body))
	request.Header.Set("Idempotency-Key", key)
	if first {
		request.Header.Set(caller.AttemptHeader, "1")
	}
	return c.send(m, request, timeout)
}

// sendLookup sends a lookup, which is idempotent, with the idempotency key of a
// booking.
func (c *cluster) sendLookup(m *member, key string, timeout time.Duration) response {
	request := httptest.NewRequest(http.MethodGet, "/services/ticket-app/slots", nil)
	request.Header.Set("Idempotency-Key", key)
	return c.send(m, request, timeout)
}

// chatWithKey sends a model request with an idempotency key.
func (c *cluster) chatWithKey(m *member, key, text string, tokens int, timeout time.Duration) response {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testModel, tokens, text)
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Idempotency-Key", key)
	return c.send(m, request, timeout)
}

// chat sends a model request for a completion of the given number of tokens.
func (c *cluster) chat(m *member, text string, tokens int, timeout time.Duration) response {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testModel, tokens, text)
	return c.send(m, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)), timeout)
}

// expectedAnswer returns the correct completion of a model request.
func expectedAnswer(text string, tokens int) string {
	return strings.Join(standin.ExpectedTokens(testModel, testLayers, "user: "+text+"\n", tokens), "")
}

// bookingRuns returns how many times the service's upstreams ran the booking of a
// key.
func (c *cluster) bookingRuns(key string) (count int) {
	for _, replica := range c.serviceReplicas {
		for _, entry := range replica.Ledger() {
			if entry.Key == key && entry.Method == http.MethodPost {
				count++
			}
		}
	}
	return count
}

// newIdempotencyKey returns a new idempotency key, a UUIDv7 with the time of the
// bubble's clock.
func newIdempotencyKey() string {
	id := uuid.New()
	ms := uint64(time.Now().UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}
