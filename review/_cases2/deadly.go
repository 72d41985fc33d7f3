package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// runDeadly sends one request again and again, each time to the next machine, that
// crashes each worker that begins to run it, after its first event.
func runDeadly(d *deployment, trouble bool) {
	const path = "/draft/deadly"
	d.loadTime, d.cardMB = 2*time.Second, 150000
	if trouble {
		d.deadlyPath = path
	}
	d.putConfig()
	var workers []*worker
	for i := range 10 {
		k := &worker{d: d, id: fmt.Sprintf("i-llm-%d", i+1), service: "llm", zone: "kochi", kind: "a100", load: d.loadTime, events: 10, gap: 20 * time.Millisecond, held: &layerRange{From: 0, Target: modelLayers, Version: 1}}
		k.start()
		workers = append(workers, k)
	}
	app := &worker{d: d, id: "i-app-1", service: "app", zone: "kochi", work: 30 * time.Millisecond}
	app.start()
	var live []*machine
	for i := range 6 {
		live = append(live, d.addMachine(fmt.Sprintf("edge-kochi-%d", i+1), "kochi", 11+i, false))
	}
	ready := func() bool {
		for _, m := range live {
			if !m.ready() {
				return false
			}
		}
		return true
	}
	if !d.waitUntil(15*time.Second, ready) || !d.waitUntil(15*time.Second, func() bool { return d.ask(live[0], "POST", "/draft/a", []byte("draft"), 4*time.Second, 10).whole }) {
		d.cannotRun("no stream is served after the start")
	}
	var others result
	var background sync.WaitGroup
	background.Go(func() { others = d.traffic(live, 50*time.Second) })
	for i := range 18 {
		go d.ask(live[i%len(live)], "POST", path, []byte("the same body"), 4*time.Second, 10)
		time.Sleep(2500 * time.Millisecond)
	}
	background.Wait()
	runs := d.runsOf(path)
	late, resent := 0, 0
	if len(runs) >= 3 {
		third := runs[2].at.Add(100 * time.Millisecond) // it has crashed its worker by then
		for _, run := range runs[3:] {
			if run.at.Sub(third) <= 3*time.Second { // contact_ms
				continue
			}
			late++
			if run.number > 1 {
				resent++
			}
		}
	}
	d.say("the request ran %d times; %d of these later than contact_ms after the third crash, %d of these sent again by a machine; of the others %s", len(runs), late, resent, others)
	if trouble && resent > 3 { // also if only what a machine sends again is taken for a retry
		d.say("BUDGET is broken")
		d.end(1)
	}
	d.say("BUDGET holds")
	d.end(0)
}

// runsOf returns the runs of requests with a path.
func (d *deployment) runsOf(path string) (runs []runTime) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, run := range d.runTimes {
		if strings.HasSuffix(run.path, path) {
			runs = append(runs, run)
		}
	}
	return runs
}

// runTime is when a request with a path ran.
type runTime struct {
	path   string
	number int // of the run of its request; 1 for the first
	at     time.Time
}
