package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"lentilmux.example/lentilmux/operator"
)

// workspaceShare is the weight of a workspace in the load, relative to the sum
// of all weights.
type workspaceShare struct {
	workspace string
	weight    float64
}

// generator sends requests at their arrival times and records the results. Only
// the goroutine of [generator.run] uses random, so that a seed always gives the
// same arrivals, prompts and lengths.
type generator struct {
	options      *options
	shares       []workspaceShare
	balancer     *balancer
	recorder     *recorder
	random       *rand.Rand
	measureStart time.Time // end of the warm-up
}

// newGenerator returns a generator for the options.
func newGenerator(flags *options) (g *generator, err error) {
	defer errors.DeferredAnnotatef(&err, "preparing the load")
	g = &generator{
		options: flags, balancer: newBalancer(*flags.targets), recorder: newRecorder(),
		random: rand.New(rand.NewPCG(uint64(*flags.seed), 1)),
	}
	for _, text := range *flags.workspaces {
		name, weight, ok := strings.Cut(text, "=")
		number, err := strconv.ParseFloat(weight, 64)
		if !ok || err != nil || number <= 0 {
			return nil, errors.Errorf("invalid workspace %q: expected name=weight with a weight above 0", text)
		}
		g.shares = append(g.shares, workspaceShare{workspace: name, weight: number})
	}
	return g, nil
}

// request is one request to send.
type request struct {
	kind      string // answer (chat request), booking or lookup
	workspace string
	prompt    string
	tokens    int    // length of the response
	key       string // idempotency key, used for bookings
}

// run generates the load, waits for the requests in flight, and returns the
// report.
func (g *generator) run() Report {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.balancer.watch(ctx)
	time.Sleep(readinessInterval) // for the first readiness probes
	tokenBound := g.fetchTokenBound(ctx)
	g.measureStart = time.Now().Add(*g.options.warmup)
	end := g.measureStart.Add(*g.options.duration)
	var inFlight sync.WaitGroup
	nextArrival := time.Now()
	for number := 0; nextArrival.Before(end); number++ {
		time.Sleep(time.Until(nextArrival))
		r := g.newRequest(number)
		inFlight.Go(func() { g.sendWithRetries(ctx, r) })
		nextArrival = nextArrival.Add(g.nextInterval())
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		inFlight.Wait()
	}()
	select {
	case <-done:
	case <-time.After(*g.options.timeout + completionMargin):
	}
	g.recorder.checkBookings(*g.options.ledgers)
	return g.recorder.report(g.options, g.measureStart, end, tokenBound)
}

// nextInterval returns the time until the next arrival: exponentially
// distributed for Poisson arrivals, constant for even ones.
func (g *generator) nextInterval() time.Duration {
	multiple := 1.0
	if *g.options.arrivals == "poisson" {
		multiple = g.random.ExpFloat64()
	}
	return time.Duration(multiple / *g.options.rate * float64(time.Second))
}

// completionMargin is the time after the deadline of the last request for which
// the generator waits for requests in flight.
const completionMargin = 5 * time.Second

// newRequest returns the next request of the load, of random kind, workspace,
// length and topic. Its number makes the prompt unique.
func (g *generator) newRequest(number int) request {
	r := request{kind: "answer", workspace: g.randomWorkspace()}
	switch u := g.random.Float64(); {
	case u < *g.options.bookings:
		r.kind = "booking"
	case u < *g.options.bookings+*g.options.lookups:
		r.kind = "lookup"
	}
	mean := *g.options.tokens
	r.tokens = mean
	if *g.options.arrivals == "poisson" {
		r.tokens = max(1, mean/2+g.random.IntN(mean+1))
	}
	r.prompt = fmt.Sprintf("topic %d: request %d", g.random.IntN(20), number)
	if id, err := uuid.NewV7(); err == nil {
		r.key = id.String()
	}
	return r
}

// randomWorkspace returns a random workspace, with probabilities in proportion
// to the weights.
func (g *generator) randomWorkspace() string {
	total := 0.0
	for _, s := range g.shares {
		total += s.weight
	}
	u := g.random.Float64() * total
	for _, s := range g.shares {
		if u -= s.weight; u < 0 {
			return s.workspace
		}
	}
	return g.shares[len(g.shares)-1].workspace
}

// fetchTokenBound reads from an entry VM the maximum number of tokens per
// second that the engines of the model can generate. It returns 0 if the value
// is not available.
func (g *generator) fetchTokenBound(ctx context.Context) (tokensPerSecond float64) {
	client := operator.NewClient([]netip.AddrPort{*g.options.control}, "", "lentilload", nil)
	result, err := client.Execute(ctx, "show pipelines where model = "+*g.options.model)
	if err != nil || len(result.Rows) == 0 {
		return 0
	}
	for i, column := range result.Columns {
		if column == "bound_tokens_per_s" {
			tokensPerSecond, err = strconv.ParseFloat(result.Rows[0][i], 64)
			if err != nil {
				return 0
			}
		}
	}
	return tokensPerSecond
}

// sendWithRetries sends a request, retries it while [canRetry] allows, and
// records the last result.
func (g *generator) sendWithRetries(ctx context.Context, r request) {
	ctx, cancel := context.WithTimeout(ctx, *g.options.timeout+time.Second)
	defer cancel()
	started := time.Now()
	var result result
	mayHaveRun := 0 // attempts that may have run
	for attempt := 1; ; attempt++ {
		target, ok := g.balancer.pick()
		if !ok {
			result.outcome, result.reason = "not_run", "no_entry_vm_ready"
		} else {
			result = g.send(ctx, target, r, mayHaveRun+1, started)
		}
		if result.outcome != "not_run" {
			mayHaveRun++
		}
		if attempt >= maxAttempts || !canRetry(r, result) || ctx.Err() != nil {
			break
		}
		g.recorder.addRetry()
		sleep(ctx, result.retryAfter)
	}
	g.recorder.addResult(g.measureStart, started, r, result)
}

// maxAttempts is the maximum number of attempts per request, the first
// included.
const maxAttempts = 4

// canRetry reports whether a request may be sent again. It may if the request
// did not run for a reason that may not apply to another attempt, or if the
// connection broke before the first token. The latter is safe for requests of
// each kind: chat requests and lookups are idempotent, and bookings carry an
// idempotency key.
func canRetry(r request, result result) bool {
	switch {
	case result.outcome == "answered" || result.tokens > 0:
		return false
	case result.reason == "deadline_exceeded" || result.reason == "quarantined":
		return false
	case result.outcome == "not_run":
		switch result.reason {
		case "draining", "not_ready", "log_unavailable", "dial", "no_entry_vm_ready":
			return true
		}
		return false
	default:
		return result.reason == "connection"
	}
}

// sleep waits for the duration, but at least 20 ms, or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(max(duration, 20*time.Millisecond))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
