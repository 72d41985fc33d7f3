package entryvm_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/caller"
	"lentilmux.example/lentilmux/engine"
	"lentilmux.example/lentilmux/entryvm"
	"lentilmux.example/lentilmux/operator"
	"lentilmux.example/lentilmux/service"
	"lentilmux.example/lentilmux/standin"
	"lentilmux.example/lentilmux/table"
)

// benchTokens is the number of tokens of each completion.
const benchTokens = 32

// benchSystem is one entry VM with one engine per pipeline stage on loopback.
type benchSystem struct {
	client *engine.Client
	addrs  []netip.AddrPort
	caller *httptest.Server
}

// newBenchSystem starts a system that serves a model with one layer per stage and
// waits until it answers.
func newBenchSystem(b *testing.B, stages int) *benchSystem {
	s := &benchSystem{client: engine.NewClient()}
	var names []string
	var statements []string
	for i := range stages {
		addr := loopbackAddr(enginePort + i)
		host := standin.NewHost(addr, standin.EngineHandler(standin.NewEngine(standin.EngineSpec{Name: fmt.Sprint("worker-", i), MaxLayers: 1, Slots: 64})))
		if err := host.Open(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(host.Close)
		s.addrs = append(s.addrs, addr)
		names = append(names, fmt.Sprint("worker-", i))
		statements = append(statements, fmt.Sprintf("create upstream worker-%d kind engine addr %s zone z layers 1 rate 100000 slots 64", i, addr))
	}
	statements = append(statements,
		fmt.Sprintf("create pipeline p model lentil layers %d on %s", stages, strings.Join(names, ", ")),
		"create workspace w share 1 priority 0 uses p")
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	vm, err := entryvm.New(entryvm.Config{Name: "entry-1", Zone: "z", Seed: 1, Limits: table.DefaultLimits(), Logger: logger}, entryvm.Dependencies{
		Engine: s.client, Service: service.NewClient(), Log: standin.NewLog(0), VMList: standin.NewVMList(0),
	})
	if err != nil {
		b.Fatal(err)
	}
	go vm.RunNode(b.Context())
	s.caller = httptest.NewServer(vm.Handler())
	b.Cleanup(s.caller.Close)
	s.configure(b, vm, statements)
	return s
}

// configure executes the statements, each until it is accepted, and waits until
// the entry VM returns complete answers.
func (s *benchSystem) configure(b *testing.B, vm *entryvm.VM, statements []string) {
	for _, text := range statements {
		statement, err := operator.Parse(text)
		if err != nil {
			b.Fatal(err)
		}
		command, err := operator.BuildCommand(text, statement, lentilmux.Snapshot{})
		if err != nil {
			b.Fatal(err)
		}
		for accepted := false; !accepted; {
			answer, err := vm.Node().Ask(b.Context(), lentilmux.CommandMsg{ID: text, Text: text, Command: command, Deadline: time.Now().Add(time.Second)})
			if err != nil {
				b.Fatal(err)
			}
			accepted = answer.(lentilmux.CommandAnswer).Accepted
		}
	}
	for s.requestFromRouter(b, nil, nil) != benchTokens {
		time.Sleep(100 * time.Millisecond)
	}
}

// requestFromRouter requests one answer from the entry VM and returns its number of
// tokens. It records the time to the first token in first and the gaps between
// tokens in gaps, unless these are nil.
func (s *benchSystem) requestFromRouter(b *testing.B, first, gaps *hdrhistogram.Histogram) (tokens int) {
	body := fmt.Sprintf(`{"model":"lentil","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, benchTokens)
	request, err := http.NewRequest(http.MethodPost, s.caller.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set(caller.WorkspaceHeader, "w")
	last := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if strings.Contains(scanner.Text(), `"content":"`) && !strings.Contains(scanner.Text(), `"content":""`) {
			last = recordGap(first, gaps, tokens, last)
			tokens++
		}
	}
	return tokens
}

// requestFromEngines requests the same answer directly from the engines and records
// the same times. The number makes the request's ID unique.
func (s *benchSystem) requestFromEngines(b *testing.B, number int, first, gaps *hdrhistogram.Histogram) {
	last := time.Now()
	var stages []lentilmux.Stage
	for i, addr := range s.addrs {
		stage, err := s.client.OpenStage(b.Context(), addr, lentilmux.StageOpen{
			Request: lentilmux.RequestID(fmt.Sprint("direct-", number)), Epoch: 1, Model: "lentil",
			Layers: lentilmux.LayerRange{First: i, Last: i}, TotalLayers: len(s.addrs), Prompt: "user: hello\n", MaxTokens: benchTokens,
		})
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = stage.Close() }()
		stages = append(stages, stage)
	}
	token := ""
	for position := range benchTokens {
		input := lentilmux.StepInput{Position: position, Token: token}
		for _, stage := range stages {
			output, err := stage.Step(b.Context(), input)
			if err != nil {
				b.Fatal(err)
			}
			input.Token, input.Activation, token = "", output.Activation, output.Token
		}
		last = recordGap(first, gaps, position, last)
	}
}

// recordGap records the time since last, in microseconds: in first for the token
// at position 0, otherwise in gaps. It returns the current time.
func recordGap(first, gaps *hdrhistogram.Histogram, position int, last time.Time) time.Time {
	now := time.Now()
	h := gaps
	if position == 0 {
		h = first
	}
	if h != nil {
		_ = h.RecordValue(max(1, now.Sub(last).Microseconds()))
	}
	return now
}

// BenchmarkAddedLatency measures the latency that the router adds to the first
// token and to the gap between tokens, as the difference of the 95th percentiles
// to direct engine calls in the same run.
func BenchmarkAddedLatency(b *testing.B) {
	for _, stages := range []int{1, 2, 3} {
		b.Run(fmt.Sprintf("stages=%d", stages), func(b *testing.B) {
			s := newBenchSystem(b, stages)
			histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }
			routedFirst, routedGap, directFirst, directGap := histogram(), histogram(), histogram(), histogram()
			for i := 0; b.Loop(); i++ {
				s.requestFromEngines(b, i, directFirst, directGap)
				s.requestFromRouter(b, routedFirst, routedGap)
			}
			p95 := func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(95)) / 1000 }
			b.ReportMetric(p95(routedFirst)-p95(directFirst), "ms-first-added")
			b.ReportMetric(p95(routedGap)-p95(directGap), "ms-gap-added")
			b.ReportMetric(p95(directGap), "ms-gap-direct")
		})
	}
}
