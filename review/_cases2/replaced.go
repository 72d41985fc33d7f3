package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// liveMachines is the number of machines of the deployment.
	liveMachines = 6
	// replacedMachines is how many of them are removed for good, each with a new one at
	// another address.
	replacedMachines = 11
	recoverAfter     = 12 * time.Second // recover_s
)

// runReplaced replaces machines one after the other, and then plays the end of a day: all
// processes of the system are killed at once and start again, and a worker crashes, which
// is back, empty, after two seconds.
func runReplaced(d *deployment, trouble bool) {
	replaces := trouble && os.Getenv("REPLACED") != "0"
	d.loadTime = 2 * time.Second
	d.putConfig()
	workers := []*worker{
		{d: d, id: "i-llm-1", service: "llm", zone: "kochi", kind: "a100", load: d.loadTime, events: 10, gap: 20 * time.Millisecond},
		{d: d, id: "i-llm-2", service: "llm", zone: "kochi", kind: "a100", load: d.loadTime, events: 10, gap: 20 * time.Millisecond},
		{d: d, id: "i-app-1", service: "app", zone: "kochi", work: 30 * time.Millisecond},
	}
	for _, k := range workers {
		k.start()
	}
	var live []*machine
	next := 1
	add := func(bootstrap bool) {
		live = append(live, d.addMachine(fmt.Sprintf("edge-kochi-%d", 100+next), "kochi", 10+next, bootstrap))
		next++
	}
	for range liveMachines {
		add(true)
	}
	allReady := func() bool {
		for _, m := range live {
			if !m.ready() {
				return false
			}
		}
		return true
	}
	if !d.waitUntil(15*time.Second, allReady) {
		d.cannotRun("the machines are not ready")
	}
	streamServed := func() bool { return d.ask(live[0], "POST", "/draft/a", []byte("draft"), 4*time.Second, 10).whole }
	if !d.waitUntil(20*time.Second, streamServed) {
		d.cannotRun("no stream is served after the start")
	}
	d.say("%d machines serve streams", len(live))

	if replaces {
		for range replacedMachines {
			add(false)
			if m := live[len(live)-1]; !d.waitUntil(8*time.Second, m.ready) {
				d.cannotRun("machine %s is not ready", m.name)
			}
			old := live[0]
			live = live[1:]
			d.record("machine %s is replaced: SIGTERM, and it does not come back", old.name)
			old.terminate()
		}
		d.say("%d machines were replaced; %d are live", replacedMachines, len(live))
	}
	before := d.traffic(live, 4*time.Second)
	d.say("before the final fault %s", before)

	if trouble {
		d.putConfig()
		if os.Getenv("ROLL") != "" {
			d.say("all processes of the system are stopped and started in turn")
			for _, m := range live {
				m.terminate()
				m.start()
				d.waitUntil(8*time.Second, m.ready)
			}
		} else {
			d.say("all processes of the system are killed")
			for _, m := range live {
				m.kill()
			}
			time.Sleep(time.Second)
			for _, m := range live {
				m.start()
			}
		}
		if !d.waitUntil(15*time.Second, allReady) {
			d.cannotRun("the machines are not ready again")
		}
		d.say("the machines are back")
		workers[1].crash()
		time.Sleep(2 * time.Second)
		workers[1].start()
		d.say("worker %s is back, empty", workers[1].id)
	}
	time.Sleep(recoverAfter)
	after := d.traffic(live, 30*time.Second)
	d.say("later than %s after that %s", recoverAfter, after)
	if after.served*4 < after.sent && before.served*4 >= before.sent {
		d.say("RECOVER is broken")
		d.end(1)
	}
	d.say("RECOVER holds")
	d.end(0)
}

// result counts the requests of some traffic.
type result struct{ sent, served, streams, streamsServed int }

func (r result) String() string {
	return fmt.Sprintf("%d of %d requests are served, %d of %d streams", r.served, r.sent, r.streamsServed, r.streams)
}

// traffic sends ten requests a second for some time, to the machines in turn: of each ten
// nine streams and one lookup, as the sheets have it.
func (d *deployment) traffic(machines []*machine, duration time.Duration) (r result) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for i := range int(duration / (100 * time.Millisecond)) {
		<-ticker.C
		m := machines[i%len(machines)]
		clients.Go(func() {
			lookup := i%10 == 9
			var a answer
			if lookup {
				a = d.ask(m, "GET", fmt.Sprintf("/slots/%d", i), nil, 2*time.Second, 0)
			} else {
				a = d.ask(m, "POST", fmt.Sprintf("/draft/%d", i), []byte("draft"), 4*time.Second, 10)
			}
			mu.Lock()
			defer mu.Unlock()
			r.sent++
			if !lookup {
				r.streams++
			}
			if a.whole {
				r.served++
				if !lookup {
					r.streamsServed++
				}
			}
		})
	}
	clients.Wait()
	return r
}
