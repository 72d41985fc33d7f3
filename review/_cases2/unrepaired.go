package main

import (
	"os"
	"time"
)

// runUnrepaired plays the end of a day, and then loses two workers for good, the second
// while a third one loads the layers of the first.
func runUnrepaired(d *deployment, trouble bool) {
	apart := 2500 * time.Millisecond
	if os.Getenv("APART") != "" {
		apart, _ = time.ParseDuration(os.Getenv("APART"))
	}
	d.putConfig()
	llm := func(id string, from, target int) *worker {
		return &worker{d: d, id: id, service: "llm", zone: "kochi", kind: "a100", load: d.loadTime, events: 10, gap: 20 * time.Millisecond, held: &layerRange{From: from, Target: target, Version: 1}}
	}
	a, b, c, e := llm("i-llm-1", 0, 40), llm("i-llm-2", 40, 60), llm("i-llm-3", 0, 20), llm("i-llm-4", 60, 80)
	app := &worker{d: d, id: "i-app-1", service: "app", zone: "kochi", work: 30 * time.Millisecond}
	for _, k := range []*worker{a, b, c, e, app} {
		k.start()
	}
	var live []*machine
	for i := range 3 {
		live = append(live, d.addMachine("edge-kochi-"+string(rune('1'+i)), "kochi", 11+i, false))
	}
	allReady := func() bool {
		for _, m := range live {
			if !m.ready() {
				return false
			}
		}
		return true
	}
	if !d.waitUntil(15*time.Second, allReady) || !d.waitUntil(15*time.Second, func() bool { return d.ask(live[0], "POST", "/draft/a", []byte("draft"), 4*time.Second, 10).whole }) {
		d.cannotRun("no stream is served after the start")
	}
	before := d.traffic(live, 4*time.Second)
	d.say("before the final fault %s", before)
	if trouble {
		d.putConfig()
		for _, m := range live {
			m.kill()
		}
		time.Sleep(time.Second)
		for _, m := range live {
			m.start()
		}
		if !d.waitUntil(15*time.Second, allReady) {
			d.cannotRun("the machines are not ready again")
		}
		d.say("the machines are back")
		d.traffic(live, 3*time.Second)
		b.lose()
		d.waitUntil(10*time.Second, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.busy })
		d.say("worker %s loads the layers of %s, which is lost", c.id, b.id)
		time.Sleep(apart)
		e.lose()
		d.say("worker %s is lost", e.id)
	}
	time.Sleep(22 * time.Second)
	after := d.traffic(live, 20*time.Second)
	for _, k := range []*worker{a, b, c, e} {
		k.mu.Lock()
		d.say("worker %s holds %s", k.id, toJSON(k.layers))
		k.mu.Unlock()
	}
	d.say("later %s", after)
	if after.served*4 < after.sent && before.served*4 >= before.sent {
		d.say("RECOVER is broken")
		d.end(1)
	}
	d.say("RECOVER holds")
	d.end(0)
}
