package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Figures of the disruptions, at most as large as in the site files.
const (
	bigConfigRoutes = 481 // big_config, count
	stormLength     = 4 * time.Second
	stormGap        = 330 * time.Millisecond
	storeDownTime   = 8500 * time.Millisecond // platform_down for some machines, for_s 9
	leaveDelay      = 500 * time.Millisecond  // from the silence to the announcement
)

// startPlainService starts the first configuration and three workers.
func (d *deployment) startPlainService(c *config, crashes func(run workerRun) bool) (workers []*worker, err error) {
	d.put(c, "the first one")
	for i := range 3 {
		w, err := d.startWorker("order-desk", zones[i], crashes)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	return workers, nil
}

// checkServes reports an error unless the VM serves a request.
func (c *client) checkServes(target, key string) error {
	if sent := c.do("POST", target, key, "check", time.Second); sent.Status != 200 {
		return fmt.Errorf("%s does not serve: status %d, %v", c.vm.name, sent.Status, sent.Err)
	}
	return nil
}

// storm writes a version each stormGap.
func (d *deployment) storm(ctx context.Context, c *config) error {
	began := time.Now()
	for i := range int(stormLength / stormGap) {
		if err := sleep(ctx, time.Until(began.Add(time.Duration(i)*stormGap))); err != nil {
			return err
		}
		c.Routes[len(c.Routes)-1].TimeoutMs++
		d.put(c, "of a storm")
	}
	return nil
}

// runBacklog changes a large configuration and takes a key away while one VM gets no answers
// from the store. Callers keep their connections to it.
func runBacklog(ctx context.Context, d *deployment, trouble bool) (held bool, err error) {
	const revoked, kept = "key-stitching-2", "key-stationers-1"
	c := newConfig()
	if _, err := d.startPlainService(c, nil); err != nil {
		return false, err
	}
	vms, err := d.startVMs(ctx, vmCount)
	if err != nil {
		return false, err
	}
	withRevoked, withKept := d.connect(vms[0]), d.connect(vms[0]) // open before the disruption
	for key, caller := range map[string]*client{revoked: withRevoked, kept: withKept} {
		if err := caller.checkServes("/order/check", key); err != nil {
			return false, err
		}
	}
	c.addRoutes(bigConfigRoutes)
	d.put(c, "with many routes more")
	if err := sleep(ctx, 4*time.Second); err != nil {
		return false, err
	}
	downSince := time.Now()
	if trouble {
		vms[0].storeSide.silent.Store(true)
		d.record.note("the store no longer answers %s", vms[0].name)
	}
	var sent []sentRequest
	callersDone := make(chan struct{})
	go func() {
		defer close(callersDone)
		for time.Since(downSince) < storeDownTime+8*time.Second && ctx.Err() == nil {
			sent = append(sent, withRevoked.do("POST", "/order/confirm", revoked, "order", time.Second))
			withKept.do("POST", "/order/confirm", kept, "order", time.Second)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	if err := d.storm(ctx, c); err != nil {
		return false, err
	}
	c.takeKey(revoked)
	ackedAt := d.put(c, "which takes "+revoked+" away")
	d.record.note("%s is taken away at %s", revoked, d.record.at(ackedAt))
	if err := d.storm(ctx, c); err != nil {
		return false, err
	}
	if err := sleep(ctx, time.Until(downSince.Add(storeDownTime))); err != nil {
		return false, err
	}
	if trouble {
		vms[0].storeSide.silent.Store(false)
		d.record.note("the store answers %s again", vms[0].name)
	}
	<-callersDone
	late, last := 0, time.Duration(0)
	for _, request := range sent {
		if age := request.SentAt.Sub(ackedAt); len(d.runsOf(request.ID)) > 0 {
			last = max(last, age)
			if age > revokeTime {
				late++
			}
		}
	}
	d.record.note("of %d requests with the key that was taken away, %d sent later than revoke_ms after the acknowledgement ran; the last one that ran was sent %.2f s after it", len(sent), late, last.Seconds())
	return late == 0, ctx.Err()
}

// runLeave makes the open connections of one VM to the store silent for good. Then a worker
// announces that it leaves.
func runLeave(ctx context.Context, d *deployment, trouble bool) (held bool, err error) {
	const key = "key-stationers-1"
	workers, err := d.startPlainService(newConfig(), nil)
	if err != nil {
		return false, err
	}
	vms, err := d.startVMs(ctx, vmCount)
	if err != nil {
		return false, err
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return false, err
	}
	silentAt := time.Now()
	if trouble {
		count, err := vms[0].storeSide.silenceConns()
		if err != nil {
			d.record.note("packets cannot be dropped here, so only the answers are: %v", err)
		}
		d.record.note("%d open connections of %s to the store go silent", count, vms[0].name)
	}
	if err := sleep(ctx, leaveDelay); err != nil {
		return false, err
	}
	leaving, ackedAt := workers[0].drain()
	d.record.note("worker %s announces that it leaves, accepted at %s", leaving, d.record.at(ackedAt))
	due := ackedAt.Add(drainTime)
	if inTouchAt := silentAt.Add(contactTime); trouble && inTouchAt.After(due) {
		due = inTouchAt
	}
	caller, late, ready := d.connect(vms[0]), 0, true
	for time.Since(ackedAt) < drainTime+linger+2*time.Second && ctx.Err() == nil {
		sent := caller.do("POST", "/order/confirm", key, "order", time.Second)
		for _, run := range d.runsOf(sent.ID) {
			if run.Worker == leaving && sent.SentAt.After(due) {
				late++
				d.record.add("%s reached the leaving worker %s after the store had accepted its announcement", sent.ID, run.At.Sub(ackedAt).Round(time.Millisecond))
			}
		}
		ready = ready && (time.Now().Before(due) || vms[0].isReady())
		time.Sleep(20 * time.Millisecond)
	}
	d.record.note("%s was ready from %s on: %t", vms[0].name, d.record.at(due), ready)
	d.record.note("%d requests that were sent after %s reached the leaving worker", late, d.record.at(due))
	return late == 0, ctx.Err()
}

// runTenant takes one key away and gives another one to another tenant while one VM gets no
// answers from the store. Callers use both keys on a route that needs none.
func runTenant(ctx context.Context, d *deployment, trouble bool) (held bool, err error) {
	const revoked, moved = "key-stitching-1", "key-stitching-2"
	c := newConfig()
	open := newRoute("order-board", "/board/", "idempotent", 2)
	open.Anonymous = true
	c.Routes = append(c.Routes, open)
	if _, err := d.startPlainService(c, nil); err != nil {
		return false, err
	}
	vms, err := d.startVMs(ctx, vmCount)
	if err != nil {
		return false, err
	}
	cut := d.connect(vms[0]) // open before the disruption, as callers' connections are
	if err := cut.checkServes("/board/check", revoked); err != nil {
		return false, err
	}
	downSince := time.Now()
	if trouble {
		vms[0].storeSide.silent.Store(true)
		d.record.note("the store no longer answers %s", vms[0].name)
	}
	if err := sleep(ctx, 500*time.Millisecond); err != nil {
		return false, err
	}
	c.takeKey(revoked)
	c.takeKey(moved)
	c.giveKey("stationers", moved)
	ackedAt := d.put(c, fmt.Sprintf("which takes %s away and gives %s to stationers", revoked, moved))
	holders := map[string]string{revoked: "", moved: "stationers"}
	wrong, served, ready := 0, 0, true
	for time.Since(downSince) < storeDownTime && ctx.Err() == nil { // the last round takes less than 0.2 s
		for _, key := range []string{revoked, moved} {
			sent := cut.do("GET", "/board/today", key, "", time.Second)
			for _, run := range d.runsOf(sent.ID) {
				if sent.SentAt.Sub(ackedAt) <= revokeTime {
					continue
				}
				served++
				if run.Tenant != holders[key] {
					wrong++
					d.record.add("%s ran as tenant %q, %s after the acknowledgement; %q holds its key", sent.ID, run.Tenant, sent.SentAt.Sub(ackedAt).Round(time.Millisecond), holders[key])
				}
			}
		}
		ready = vms[0].isReady()
		time.Sleep(150 * time.Millisecond)
	}
	vms[0].storeSide.silent.Store(false)
	d.record.note("%s is ready at the end: %t", vms[0].name, ready)
	d.record.note("of %d requests that ran and were sent later than revoke_ms after the acknowledgement, %d ran as a tenant that does not hold the key", served, wrong)
	return wrong == 0, ctx.Err()
}

// runCrash sends a request that crashes each worker that runs it, again and again, each time
// to another VM.
func runCrash(ctx context.Context, d *deployment, trouble bool) (held bool, err error) {
	const interval, lastAfter = 2500 * time.Millisecond, 65 * time.Second
	const key, target, body = "key-stationers-1", "/order/confirm-4711", "order 4711"
	var mu sync.Mutex
	var crashedAt []time.Time
	crashes := func(run workerRun) bool {
		if !trouble || run.Target != target {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		crashedAt = append(crashedAt, run.At)
		return true
	}
	c := newConfig()
	if _, err := d.startPlainService(c, crashes); err != nil {
		return false, err
	}
	vms, err := d.startVMs(ctx, vmCount)
	if err != nil {
		return false, err
	}
	others, stop := d.startOrders(ctx, vms)
	defer stop()
	late, refused := 0, 0
	began := time.Now()
	for i := 0; time.Since(began) < lastAfter && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * interval)))
		sent := d.connect(vms[i%vmCount]).do("POST", target, key, body, time.Second)
		runs := d.runsOf(sent.ID)
		mu.Lock()
		count := len(crashedAt)
		if len(runs) > 0 && count > 3 && sent.SentAt.Sub(crashedAt[2]) > contactTime {
			late++
		}
		mu.Unlock()
		if len(runs) == 0 {
			refused++
		}
		d.record.add("send %d of the request, to %s: status %d, ran %d times, %d crashes so far", i+1, sent.VM, sent.Status, len(runs), count)
	}
	stop()
	d.record.note("the request crashed %d workers, %d of these later than contact_ms after the third crash; %d sends of it reached no worker", len(crashedAt), late, refused)
	d.record.note("of the orders of other callers meanwhile: %s", others())
	return late <= 3, ctx.Err()
}

// startOrders lets other callers send orders to all VMs. counts describes their answers.
func (d *deployment) startOrders(ctx context.Context, vms []*vm) (counts func() string, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var mu sync.Mutex
	var group sync.WaitGroup
	byStatus := make(map[string]int)
	for _, v := range vms {
		group.Go(func() {
			c := d.connect(v)
			for i := 0; ctx.Err() == nil; i++ {
				sent := c.do("POST", "/order/other", "key-stitching-1", fmt.Sprintf("order %d of %s", i, v.name), time.Second)
				answer := fmt.Sprint(sent.Status)
				if sent.Err != nil {
					answer = "none"
				}
				mu.Lock()
				byStatus[answer]++
				mu.Unlock()
				time.Sleep(120 * time.Millisecond)
			}
		})
	}
	counts = func() string {
		mu.Lock()
		defer mu.Unlock()
		return fmt.Sprint(byStatus)
	}
	return counts, func() {
		cancel()
		group.Wait()
	}
}

// runPath sends requests whose path begins with two slashes, as clients do that join a base
// address with a slash at its end and a path.
func runPath(ctx context.Context, d *deployment, trouble bool) (held bool, err error) {
	c := newConfig()
	c.Routes = append(c.Routes, newRoute("all-else", "/", "non_idempotent", 1))
	if _, err := d.startPlainService(c, nil); err != nil {
		return false, err
	}
	vms, err := d.startVMs(ctx, vmCount)
	if err != nil {
		return false, err
	}
	caller := d.connect(vms[0])
	if err := caller.checkServes("/desk/confirm?id=1", "key-stationers-1"); err != nil {
		return false, err
	}
	changed, ran := 0, 0
	for i := range 10 {
		target := fmt.Sprintf("/desk/confirm?id=%d", i)
		if trouble {
			target = "/" + target
		}
		sent := caller.do("POST", target, "key-stationers-1", "order", time.Second)
		for _, run := range d.runsOf(sent.ID) {
			ran++
			if run.Target != target {
				changed++
				d.record.add("%s was sent with the target %s and ran with %s", sent.ID, target, run.Target)
			}
		}
	}
	d.record.note("of %d requests that ran, %d ran with a changed path", ran, changed)
	if ran == 0 {
		return false, errors.New("nothing ran")
	}
	return changed == 0, ctx.Err()
}
