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

// cluster is a few entry VMs in one process around shared stand-ins. It runs
// inside a bubble of testing/synctest.
type cluster struct {
	t        *testing.T
	log      *standin.Log
	list     *standin.VMList
	engines  *standin.Engines
	workers  []*standin.Engine
	services standin.Services
	desks    []*standin.Service
	network  *network
	vms      []*member
	limits   table.Limits
}

// member is one entry VM of a cluster through all its incarnations.
type member struct {
	name string
	addr netip.AddrPort

	mu  sync.Mutex
	now life
}

// life is one incarnation of a member; its vm is nil once it was killed.
type life struct {
	vm     *entryvm.VM
	gate   *gate
	cancel context.CancelFunc
	done   chan struct{}
	ctx    context.Context
}

// life returns the present incarnation.
func (m *member) life() life {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *member) alive() bool { return m.life().vm != nil }

// ask asks the present incarnation's node. It returns nil if there is none.
func (m *member) ask(msg lentilmux.Msg) lentilmux.Answer {
	now := m.life()
	if now.vm == nil {
		return nil
	}
	answer, err := now.vm.Node().Ask(now.ctx, msg)
	if err != nil {
		return nil
	}
	return answer
}

func address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
}

// newCluster starts count entry VMs, configures a pipeline over four engines
// and a service over two, and waits until all is in force.
func newCluster(t *testing.T, count int) *cluster {
	c := &cluster{
		t: t, log: standin.NewLog(2 * time.Millisecond), list: standin.NewVMList(time.Second),
		engines: standin.NewEngines(), services: standin.Services{},
		network: &network{
			nodes: make(map[netip.AddrPort]*lentilmux.Node), cuts: make(map[[2]netip.AddrPort]bool), log: make(map[netip.AddrPort]bool),
		},
		limits: table.DefaultLimits(),
	}
	var vms []lentilmux.ListedVM
	for i := range testEngines {
		worker := standin.NewEngine(standin.EngineSpec{Name: fmt.Sprintf("worker-%d", i+1), Layers: testLayers / 2, Rate: 2000, Slots: 8, ReportLag: 100 * time.Millisecond})
		c.workers = append(c.workers, worker)
		c.engines.Add(address(9100+i), worker)
		vms = append(vms, lentilmux.ListedVM{Name: worker.Spec().Name, Role: lentilmux.RoleUpstream, Addr: address(9100 + i)})
	}
	for i := range 2 {
		desk := standin.NewService(fmt.Sprintf("desk-%d", i+1), 20*time.Millisecond)
		c.desks = append(c.desks, desk)
		c.services[address(9200+i)] = desk
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

// start runs a member as a new incarnation.
func (c *cluster) start(m *member) {
	now := life{gate: &gate{}, done: make(chan struct{})}
	l := &link{cluster: c, gate: now.gate, addr: m.addr}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm, err := entryvm.New(entryvm.Config{
		Name: m.name, Zone: "kochi", ControlAddr: m.addr, Seed: 1, Limits: c.limits, Logger: logger,
		Options: []system.Option{system.WithSystem(now.gate)},
	}, entryvm.Dependencies{Engine: c.engines, Service: l, Log: l, VMList: c.list, Peer: l})
	if err != nil {
		c.t.Fatal(err)
	}
	now.vm = vm
	now.ctx, now.cancel = context.WithCancel(context.Background())
	c.network.set(m.addr, vm.Node())
	m.mu.Lock()
	m.now = now
	m.mu.Unlock()
	go func() {
		defer close(now.done)
		vm.RunNode(now.ctx)
	}()
}

// kill ends a member at once, with all requests that it serves.
func (c *cluster) kill(m *member) {
	now := m.life()
	if now.vm == nil {
		return
	}
	c.network.set(m.addr, nil)
	now.cancel()
	now.gate.resume()
	m.mu.Lock()
	m.now.vm = nil
	m.mu.Unlock()
}

// stopAll ends everything, so that the bubble can end.
func (c *cluster) stopAll() {
	for _, worker := range c.workers {
		worker.Thaw()
	}
	for _, desk := range c.desks {
		desk.Thaw()
	}
	for _, m := range c.vms {
		c.kill(m)
		<-m.life().done
	}
}

// configure applies the common configuration through the first member.
func (c *cluster) configure() {
	var statements []string
	var names []string
	for i := range c.workers {
		names = append(names, fmt.Sprintf("worker-%d", i+1))
		statements = append(statements, fmt.Sprintf("create upstream worker-%d kind engine addr %s zone kochi layers %d rate 2000 slots 8", i+1, address(9100+i), testLayers/2))
	}
	for i := range c.desks {
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

// execute runs a command at a member.
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

// snapshot returns the configuration that a member has in force.
func (c *cluster) snapshot(m *member) lentilmux.Snapshot {
	answer, _ := m.ask(lentilmux.SnapshotRequestMsg{}).(lentilmux.SnapshotAnswer)
	return answer.Snapshot
}

// response is what a caller got.
type response struct {
	Status  int
	Outcome string // answered, not_run, unknown, or empty if the VM was gone
	Reason  string
	Text    string // of a model's answer
	Body    string
	Request string
}

// do sends a request to a member and returns what its caller gets.
func (c *cluster) do(m *member, request *http.Request, timeout time.Duration) (r response) {
	now := m.life()
	if now.vm == nil {
		return response{}
	}
	ctx, cancel := context.WithTimeout(now.ctx, timeout+5*time.Second)
	defer cancel()
	request.Header.Set(caller.WorkspaceHeader, "counter")
	request.Header.Set(caller.TimeoutHeader, fmt.Sprint(timeout.Milliseconds()))
	recorder := httptest.NewRecorder()
	now.gate.pass()
	now.vm.Handler().ServeHTTP(recorder, request.WithContext(ctx))
	now.gate.pass()
	if m.life().vm != now.vm {
		return response{} // its connection broke with the VM
	}
	return parse(recorder)
}

// parse reads a recorded response.
func parse(recorder *httptest.ResponseRecorder) (r response) {
	r = response{Status: recorder.Code, Outcome: "answered", Body: recorder.Body.String(), Request: recorder.Header().Get(caller.RequestIDHeader)}
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

// book makes a booking that must not run twice.
func (c *cluster) book(m *member, key, body string, first bool, timeout time.Duration) response {
	request := httptest.NewRequest(http.MethodPost, "/services/ticket-app/book", strings.NewReader(body))
	request.Header.Set("Idempotency-Key", key)
	if first {
		request.Header.Set(caller.AttemptHeader, "1")
	}
	return c.do(m, request, timeout)
}

// look makes a lookup, which may run again, with the key of a booking.
func (c *cluster) look(m *member, key string, timeout time.Duration) response {
	request := httptest.NewRequest(http.MethodGet, "/services/ticket-app/slots", nil)
	request.Header.Set("Idempotency-Key", key)
	return c.do(m, request, timeout)
}

// ask asks the model under a key.
func (c *cluster) ask(m *member, key, text string, tokens int, timeout time.Duration) response {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testModel, tokens, text)
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Idempotency-Key", key)
	return c.do(m, request, timeout)
}

// chat asks the model for an answer of a number of tokens.
func (c *cluster) chat(m *member, text string, tokens int, timeout time.Duration) response {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, testModel, tokens, text)
	return c.do(m, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)), timeout)
}

// expected returns the right answer to a chat.
func expected(text string, tokens int) string {
	return strings.Join(standin.ExpectedTokens(testModel, testLayers, "user: "+text+"\n", tokens), "")
}

// runsOf counts how often the services ran the booking of a key.
func (c *cluster) runsOf(key string) (count int) {
	for _, desk := range c.desks {
		for _, run := range desk.Ledger() {
			if run.Key == key && run.Method == http.MethodPost {
				count++
			}
		}
	}
	return count
}

// newKey returns an idempotency key made now, by the bubble's clock.
func newKey() string {
	id := uuid.New()
	ms := uint64(time.Now().UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}
