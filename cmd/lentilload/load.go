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

// share is a workspace's part of the load.
type share struct {
	workspace string
	part      float64
}

// load offers requests and records what becomes of them.
type load struct {
	options  *options
	shares   []share
	balancer *balancer
	records  *records
	random   *rand.Rand
	start    time.Time // of the measured time
}

// newLoad returns a load that the options describe.
func newLoad(o *options) (l *load, err error) {
	defer errors.DeferredAnnotatef(&err, "preparing the load")
	l = &load{
		options: o, balancer: newBalancer(*o.targets), records: newRecords(),
		random: rand.New(rand.NewPCG(uint64(*o.seed), 1)),
	}
	for _, text := range *o.workspaces {
		name, part, ok := strings.Cut(text, "=")
		number, err := strconv.ParseFloat(part, 64)
		if !ok || err != nil || number <= 0 {
			return nil, errors.Errorf("workspace %q is not name=part", text)
		}
		l.shares = append(l.shares, share{workspace: name, part: number})
	}
	return l, nil
}

// request is one request to send.
type request struct {
	kind      string // answer, booking or lookup
	workspace string
	prompt    string
	tokens    int
	key       string
}

// run offers the load and returns its report.
func (l *load) run() Report {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.balancer.watch(ctx)
	time.Sleep(readyEvery)
	bound := l.bound(ctx)
	l.start = time.Now().Add(*l.options.warmup)
	end := l.start.Add(*l.options.duration)
	var open sync.WaitGroup
	next := time.Now()
	for number := 0; next.Before(end); number++ {
		time.Sleep(time.Until(next))
		r := l.draw(number)
		open.Go(func() { l.serve(ctx, r) })
		next = next.Add(l.interval())
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		open.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(*l.options.timeout + drainMargin):
	}
	l.records.checkBookings(*l.options.ledgers)
	return l.records.report(l.options, l.start, end, bound)
}

// interval draws the time to the next arrival.
func (l *load) interval() time.Duration {
	parts := 1.0
	if *l.options.arrivals == "poisson" {
		parts = l.random.ExpFloat64()
	}
	return time.Duration(parts / *l.options.rate * float64(time.Second))
}

// drainMargin is the time beyond a request's deadline after which the load no
// longer waits for its answer.
const drainMargin = 5 * time.Second

// draw makes the next request from the load's random numbers.
func (l *load) draw(number int) request {
	r := request{kind: "answer", workspace: l.drawWorkspace()}
	switch u := l.random.Float64(); {
	case u < *l.options.bookings:
		r.kind = "booking"
	case u < *l.options.bookings+*l.options.lookups:
		r.kind = "lookup"
	}
	mean := *l.options.tokens
	r.tokens = mean
	if *l.options.arrivals == "poisson" {
		r.tokens = max(1, mean/2+l.random.IntN(mean+1))
	}
	r.prompt = fmt.Sprintf("topic %d: request %d", l.random.IntN(20), number)
	if id, err := uuid.NewV7(); err == nil {
		r.key = id.String()
	}
	return r
}

func (l *load) drawWorkspace() string {
	total := 0.0
	for _, s := range l.shares {
		total += s.part
	}
	u := l.random.Float64() * total
	for _, s := range l.shares {
		if u -= s.part; u < 0 {
			return s.workspace
		}
	}
	return l.shares[len(l.shares)-1].workspace
}

// bound asks an entry VM for the most tokens a second that the model's engines
// can make; 0 if it does not tell.
func (l *load) bound(ctx context.Context) (tokens float64) {
	client := operator.NewClient([]netip.AddrPort{*l.options.control}, "", "lentilload", nil)
	result, err := client.Execute(ctx, "show pipelines where model = "+*l.options.model)
	if err != nil || len(result.Rows) == 0 {
		return 0
	}
	for i, column := range result.Columns {
		if column == "bound_tokens_per_s" {
			tokens, err = strconv.ParseFloat(result.Rows[0][i], 64)
			if err != nil {
				return 0
			}
		}
	}
	return tokens
}

// serve sends one request and, while it is known not to have run, again.
func (l *load) serve(ctx context.Context, r request) {
	ctx, cancel := context.WithTimeout(ctx, *l.options.timeout+time.Second)
	defer cancel()
	started := time.Now()
	var result result
	doubtful := 0 // sends of the request that may have run
	for attempt := 1; ; attempt++ {
		target, ok := l.balancer.pick()
		if !ok {
			result.outcome, result.reason = "not_run", "no_entry_vm_ready"
		} else {
			result = l.send(ctx, target, r, doubtful+1, started)
		}
		if result.outcome != "not_run" {
			doubtful++
		}
		if attempt >= attemptsMost || !again(r, result) || ctx.Err() != nil {
			break
		}
		l.records.resend()
		sleep(ctx, result.retryAfter)
	}
	l.records.add(l.start, started, r, result)
}

// attemptsMost bounds how often a request is sent.
const attemptsMost = 4

// again reports whether a request may be sent once more: when it did not run,
// when it is idempotent and nothing of the answer came, and when its key makes
// it safe.
func again(r request, result result) bool {
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

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(max(duration, 20*time.Millisecond))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
