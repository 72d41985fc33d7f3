package entryvm_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/standin"
)

// checkLayers checks the layers that the engines ran for an answered request and
// describes the first violation, or returns an empty text. For every token there
// must be an epoch in which each layer ran exactly once, and no layer may run
// twice for a position in an epoch.
func checkLayers(c *cluster, request string, tokens int) (violation string) {
	type epochPosition struct {
		epoch    lentilmux.Epoch
		position int
	}
	runsByLayer := make(map[epochPosition][testLayers]int)
	for _, worker := range c.workers {
		for _, entry := range worker.Ledger() {
			if string(entry.Request) != request {
				continue
			}
			key := epochPosition{entry.Epoch, entry.Position}
			counts := runsByLayer[key]
			for layer := entry.Layers.First; layer <= entry.Layers.Last; layer++ {
				counts[layer]++
			}
			runsByLayer[key] = counts
		}
	}
	completeEpochs := make(map[int]int)
	for key, counts := range runsByLayer {
		complete := true
		for layer, runs := range counts {
			if runs > 1 {
				return fmt.Sprintf("request %s: layer %d ran %d times at position %d of epoch %d", request, layer, runs, key.position, key.epoch)
			}
			complete = complete && runs == 1
		}
		if complete {
			completeEpochs[key.position]++
		}
	}
	for position := range tokens {
		if completeEpochs[position] == 0 {
			return fmt.Sprintf("request %s: no epoch ran all layers at position %d", request, position)
		}
	}
	return ""
}

// recoveryTarget is the maximum time from a fault until responses continue. Over
// the network, the client's pings detect a silent stream; engines in the same
// process have no pings, so that the timeout of a step detects it later.
var recoveryTarget = map[string]time.Duration{"kill": time.Second, "freeze": 3 * time.Second, "blackhole": 5 * time.Second}

// TestAnswerIsCompleteWhenStageFails guards against lost, repeated or wrong tokens
// and a slow recovery when an engine dies, freezes or goes silent during a
// response.
func TestAnswerIsCompleteWhenStageFails(t *testing.T) {
	for _, fault := range []string{"kill", "freeze", "blackhole"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2)
				defer c.stopAll()
				done := make(chan response)
				go func() { done <- c.chat(c.vms[0], "hello", 60, 30*time.Second) }()
				time.Sleep(100 * time.Millisecond)
				victim := busiest(c)
				failedAt := time.Now()
				switch fault {
				case "kill":
					victim.Kill()
				case "freeze":
					victim.Freeze()
				case "blackhole":
					victim.BlackholeStreams()
				}
				r := <-done
				if r.Text != expectedAnswer("hello", 60) {
					t.Fatalf("answer is not complete: %+v", r)
				}
				if violation := checkLayers(c, r.RequestID, 60); violation != "" {
					t.Fatal(violation)
				}
				// After recovery, the rest of the answer takes less than a second.
				if took := time.Since(failedAt); took > recoveryTarget[fault]+time.Second {
					t.Errorf("the answer was complete only %s after the fault", took)
				}
			})
		})
	}
}

// busiest returns the engine that has run the most steps.
func busiest(c *cluster) (engine *standin.Engine) {
	maxRuns := -1
	for _, worker := range c.workers {
		if n := len(worker.Ledger()); n > maxRuns {
			maxRuns, engine = n, worker
		}
	}
	return engine
}

// TestResentBookingRunsOnce guards against a booking that runs several times when
// a caller sends it through all VMs at the same time. All must return one reply,
// and the key with another body must be rejected.
func TestResentBookingRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		defer c.stopAll()
		key := newIdempotencyKey()
		replies := make(chan response, len(c.vms))
		for _, m := range c.vms {
			go func() { replies <- c.sendBooking(m, key, "steam room at six", false, 5*time.Second) }()
		}
		first := ""
		for range c.vms {
			r := <-replies
			if r.Outcome != "answered" {
				t.Errorf("resend returned %+v", r)
			}
			if first == "" {
				first = r.Body
			}
			if r.Body != first {
				t.Errorf("replies differ: %s and %s", first, r.Body)
			}
		}
		if n := c.bookingRuns(key); n != 1 {
			t.Errorf("the booking ran %d times", n)
		}
		if r := c.sendBooking(c.vms[3], key, "another body", false, 5*time.Second); r.Reason != "idempotency_key_reused" {
			t.Errorf("the key with another body returned %+v", r)
		}
	})
}

// TestBookingIsNotRepeatedAfterServiceFailure guards against a retry of a booking
// whose upstream failed while running it: the outcome is unknown, also for resends
// through any VM.
func TestBookingIsNotRepeatedAfterServiceFailure(t *testing.T) {
	for _, fault := range []string{"kill", "freeze"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer c.stopAll()
				key := newIdempotencyKey()
				first := make(chan response)
				for _, replica := range c.serviceReplicas {
					if fault == "freeze" {
						replica.Freeze() // accepts calls and never replies
					}
				}
				go func() { first <- c.sendBooking(c.vms[0], key, "refund", true, 3*time.Second) }()
				time.Sleep(15 * time.Millisecond)
				if c.bookingRuns(key) != 1 {
					t.Fatal("the booking did not start")
				}
				for _, replica := range c.serviceReplicas {
					if fault == "kill" {
						replica.Kill()
						replica.Revive()
					}
				}
				if r := <-first; r.Outcome != "unknown" {
					t.Errorf("a booking whose service failed returned %+v", r)
				}
				for _, m := range c.vms {
					if r := c.sendBooking(m, key, "refund", false, 3*time.Second); r.Outcome != "unknown" {
						t.Errorf("the resend returned %+v", r)
					}
				}
				if n := c.bookingRuns(key); n != 1 {
					t.Errorf("the booking ran %d times", n)
				}
			})
		})
	}
}

// TestBookingOfPausedVMRunsOnce guards against a second run, or a false "not run",
// when a VM is paused while it handles a booking, the caller resends it through
// another VM, and the first VM resumes.
func TestBookingOfPausedVMRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		key := newIdempotencyKey()
		first := make(chan response, 1)
		go func() { first <- c.sendBooking(c.vms[0], key, "refund", true, 5*time.Second) }()
		time.Sleep(3 * time.Millisecond)
		c.vms[0].incarnation().gate.pause()
		time.Sleep(30 * time.Second)
		resend := c.sendBooking(c.vms[1], key, "refund", false, 5*time.Second)
		if resend.Outcome == "not_run" && c.bookingRuns(key) > 0 {
			t.Errorf("the resend returned %+v, but the refund ran", resend)
		}
		c.vms[0].incarnation().gate.resume()
		r := <-first
		time.Sleep(5 * time.Second)
		if n := c.bookingRuns(key); n > 1 {
			t.Errorf("the refund ran %d times", n)
		}
		if r.Outcome == "not_run" && c.bookingRuns(key) > 0 {
			t.Errorf("the first request returned %+v, but the refund ran", r)
		}
	})
}

// TestLogOutageRejectsBookingsAndServesModels guards against bookings that run
// without a record while the log is unavailable, and against a log outage that
// stops model requests. Bookings must be rejected promptly as not run and succeed
// after the outage.
func TestLogOutageRejectsBookingsAndServesModels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.log.SetOutage(true)
		time.Sleep(2 * time.Second)
		key := newIdempotencyKey()
		started := time.Now()
		r := c.sendBooking(c.vms[0], key, "slot", true, 10*time.Second)
		if r.Outcome != "not_run" || time.Since(started) > time.Second {
			t.Errorf("a first booking during the outage returned %+v after %s", r, time.Since(started))
		}
		if r := c.chat(c.vms[1], "hello", 5, 10*time.Second); r.Text != expectedAnswer("hello", 5) {
			t.Errorf("a model request during the outage returned %+v", r)
		}
		time.Sleep(time.Minute)
		if r := c.chat(c.vms[2], "hello", 5, 10*time.Second); r.Text != expectedAnswer("hello", 5) {
			t.Errorf("a model request after a minute of outage returned %+v", r)
		}
		c.log.SetOutage(false)
		time.Sleep(2 * time.Second)
		if r := c.sendBooking(c.vms[0], key, "slot", false, 10*time.Second); r.Outcome != "answered" {
			t.Errorf("the booking after the outage returned %+v", r)
		}
		if n := c.bookingRuns(key); n != 1 {
			t.Errorf("the booking ran %d times", n)
		}
	})
}

// TestLostLogRepliesCauseNoSecondRun guards against bookings and commands that are
// applied twice because the log appended their record but its reply was lost.
func TestLostLogRepliesCauseNoSecondRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.log.DropEveryNthReply(1)
		for i := range 10 {
			key := newIdempotencyKey()
			if r := c.sendBooking(c.vms[i%3], key, "slot", true, 10*time.Second); r.Outcome != "answered" {
				t.Errorf("booking %d returned %+v", i, r)
			}
			if n := c.bookingRuns(key); n != 1 {
				t.Errorf("booking %d ran %d times", i, n)
			}
		}
		answer := c.execute(c.vms[1], "change workspace counter priority 3", "one")
		again := c.execute(c.vms[2], "change workspace counter priority 3 if revision 1", "one")
		if !answer.Accepted || answer.Revision != again.Revision {
			t.Errorf("the command and its repetition returned %+v and %+v", answer, again)
		}
	})
}

// TestCrashSuspectCrashesAtMostTwoEngines guards against a request that crashes one
// engine after the other as callers resend it through all VMs.
func TestCrashSuspectCrashesAtMostTwoEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.stopAll()
		for i := range 12 {
			r := c.chat(c.vms[i%4], standin.CrashMarker, 5, 10*time.Second)
			if r.Outcome == "answered" {
				t.Fatalf("a crashing request returned %+v", r)
			}
			time.Sleep(100 * time.Millisecond)
		}
		crashes := 0
		for _, worker := range c.workers {
			crashes += worker.Crashes()
		}
		if crashes > 2 {
			t.Errorf("the request crashed %d engines", crashes)
		}
		for _, worker := range c.workers {
			worker.Revive()
		}
		time.Sleep(20 * time.Second)
		if r := c.chat(c.vms[0], "hello", 5, 10*time.Second); r.Text != expectedAnswer("hello", 5) {
			t.Errorf("another request returned %+v", r)
		}
	})
}

// TestLeavingUpstreamGetsNoNewRequests guards against requests that are still sent
// to an engine three seconds after it reported that it is leaving.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		defer c.stopAll()
		c.workers[0].SetLeaving(true)
		time.Sleep(3 * time.Second)
		before := len(c.workers[0].Ledger())
		for i := range 20 {
			if r := c.chat(c.vms[i%5], fmt.Sprint("hello ", i), 3, 10*time.Second); r.Outcome != "answered" {
				t.Errorf("request %d returned %+v", i, r)
			}
		}
		if after := len(c.workers[0].Ledger()); after != before {
			t.Errorf("the leaving engine ran %d more steps", after-before)
		}
	})
}

// TestDrainCompletesInFlightRequests guards against a drain that cuts off requests
// which are in flight or arrive before the load balancer notices.
func TestDrainCompletesInFlightRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		replies := make(chan response, 20)
		for i := range 20 {
			go func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				replies <- c.chat(c.vms[0], "long", 400, 2*time.Minute)
			}()
		}
		time.Sleep(time.Second)
		go c.vms[0].ask(lentilmux.DrainMsg{})
		for range 20 {
			if r := <-replies; r.Text != expectedAnswer("long", 400) {
				t.Errorf("the drain cut off a request: %s %s", r.Outcome, r.Reason)
			}
		}
	})
}

// TestJoiningVMLoadsConfigurationFromPeers guards against a VM that starts during a
// log outage and serves nothing or an outdated configuration. It must load the current
// one from its peers.
func TestJoiningVMLoadsConfigurationFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.kill(c.vms[2])
		if answer := c.execute(c.vms[0], "change workspace counter priority 5", "change"); !answer.Accepted {
			t.Fatalf("the change returned %+v", answer)
		}
		time.Sleep(time.Second)
		c.log.SetOutage(true)
		c.start(c.vms[2])
		time.Sleep(10 * time.Second)
		if r := c.chat(c.vms[2], "hello", 3, 5*time.Second); r.Text != expectedAnswer("hello", 3) {
			t.Errorf("a VM that joined during a log outage returned %+v", r)
		}
		if got := c.snapshot(c.vms[2]).Workspaces[0].Priority; got != 5 {
			t.Errorf("the joining VM applied priority %d", got)
		}
		c.log.SetOutage(false)
	})
}

// TestTruncatedLogRevertsNothing guards against a log that loses its newest entries:
// VMs must neither revert accepted configuration, also after a restart, nor run a
// recorded booking again or report it as not run. Later commands must apply.
func TestTruncatedLogRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		if answer := c.execute(c.vms[0], "change workspace counter priority 5", "change"); !answer.Accepted {
			t.Fatalf("the change returned %+v", answer)
		}
		key := newIdempotencyKey()
		c.sendBooking(c.vms[0], key, "slot", true, 5*time.Second)
		time.Sleep(time.Second)
		c.log.Truncate(lentilmux.StreamConfig, 3)
		c.log.Truncate(lentilmux.StreamCalls, 100)
		time.Sleep(3 * time.Second)
		c.kill(c.vms[1])
		time.Sleep(time.Second)
		c.start(c.vms[1])
		time.Sleep(10 * time.Second)
		for _, m := range c.vms {
			if got := c.snapshot(m).Workspaces; len(got) != 1 || got[0].Priority != 5 {
				t.Errorf("%s has applied %+v", m.name, got)
			}
			r := c.sendBooking(m, key, "slot", false, 3*time.Second)
			if r.Outcome == "not_run" {
				t.Errorf("%s returned %+v for the resend", m.name, r)
			}
		}
		if n := c.bookingRuns(key); n != 1 {
			t.Errorf("the booking ran %d times", n)
		}
		answer := c.execute(c.vms[2], "change workspace counter priority 6", "late")
		if !answer.Accepted {
			t.Errorf("a command after the truncation returned %+v", answer)
		}
		time.Sleep(time.Second)
		for _, m := range c.vms {
			if got := c.snapshot(m); got.Workspaces[0].Priority != 6 || got.Revision != answer.Revision {
				t.Errorf("%s has priority %d at revision %d, the command was accepted at %d", m.name, got.Workspaces[0].Priority, got.Revision, answer.Revision)
			}
		}
	})
}
