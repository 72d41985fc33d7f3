package entryvm_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/standin"
)

// checkLayers reports what is wrong with the layers that the engines ran for
// one answered request: every token must have come from one epoch in which each
// layer ran once, in order, and no layer may have run twice for a position in
// an epoch.
func checkLayers(c *cluster, request string, tokens int) (wrong string) {
	type place struct {
		epoch    lentilmux.Epoch
		position int
	}
	covered := make(map[place][testLayers]int)
	for _, worker := range c.workers {
		for _, run := range worker.Ledger() {
			if string(run.Request) != request {
				continue
			}
			at := place{run.Epoch, run.Position}
			counts := covered[at]
			for l := run.Layers.First; l <= run.Layers.Last; l++ {
				counts[l]++
			}
			covered[at] = counts
		}
	}
	whole := make(map[int]int)
	for at, counts := range covered {
		complete := true
		for l, n := range counts {
			if n > 1 {
				return fmt.Sprintf("request %s: layer %d ran %d times at position %d of epoch %d", request, l, n, at.position, at.epoch)
			}
			complete = complete && n == 1
		}
		if complete {
			whole[at.position]++
		}
	}
	for position := range tokens {
		if whole[position] == 0 {
			return fmt.Sprintf("request %s: no epoch ran all layers at position %d", request, position)
		}
	}
	return ""
}

// recoveryTarget is the time after a fault by which answers have to flow. The
// silence of an open stream is noticed by the network client's ping, which the
// engines in process do not have; there the timeout of a step ends it.
var recoveryTarget = map[string]time.Duration{"kill": time.Second, "freeze": 3 * time.Second, "silence": 5 * time.Second}

func TestAnswerIsWholeWhenStageDies(t *testing.T) {
	for _, fault := range []string{"kill", "freeze", "silence"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2)
				defer c.stopAll()
				done := make(chan response)
				go func() { done <- c.chat(c.vms[0], "hello", 60, 30*time.Second) }()
				time.Sleep(100 * time.Millisecond)
				victim := busiest(c)
				struck := time.Now()
				switch fault {
				case "kill":
					victim.Kill()
				case "freeze":
					victim.Freeze()
				case "silence":
					victim.BlackholeStreams()
				}
				r := <-done
				if r.Text != expected("hello", 60) {
					t.Fatalf("answer is not whole: %+v", r)
				}
				if wrong := checkLayers(c, r.Request, 60); wrong != "" {
					t.Fatal(wrong)
				}
				// The rest of the answer takes less than a second.
				if took := time.Since(struck); took > recoveryTarget[fault]+time.Second {
					t.Errorf("the answer went on only after %s", took)
				}
			})
		})
	}
}

// busiest returns the engine that ran the most so far.
func busiest(c *cluster) (engine *standin.Engine) {
	most := -1
	for _, worker := range c.workers {
		if n := len(worker.Ledger()); n > most {
			most, engine = n, worker
		}
	}
	return engine
}

func TestBookingRunsOnceWhenResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		defer c.stopAll()
		key := newKey()
		replies := make(chan response, len(c.vms))
		for _, m := range c.vms {
			go func() { replies <- c.book(m, key, "steam room at six", false, 5*time.Second) }()
		}
		first := ""
		for range c.vms {
			r := <-replies
			if r.Outcome != "answered" {
				t.Errorf("resend got %+v", r)
			}
			if first == "" {
				first = r.Body
			}
			if r.Body != first {
				t.Errorf("replies differ: %s and %s", first, r.Body)
			}
		}
		if n := c.runsOf(key); n != 1 {
			t.Errorf("the booking ran %d times", n)
		}
		if r := c.book(c.vms[3], key, "another body", false, 5*time.Second); r.Reason != "idempotency_key_reused" {
			t.Errorf("the key with another body got %+v", r)
		}
	})
}

func TestBookingWhoseServiceDiedIsNotRepeated(t *testing.T) {
	for _, fault := range []string{"kill", "freeze"} {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer c.stopAll()
				key := newKey()
				first := make(chan response)
				for _, desk := range c.desks {
					if fault == "freeze" {
						desk.Freeze() // it takes calls and never replies
					}
				}
				go func() { first <- c.book(c.vms[0], key, "refund", true, 3*time.Second) }()
				time.Sleep(15 * time.Millisecond)
				if c.runsOf(key) != 1 {
					t.Fatal("the booking has not begun")
				}
				for _, desk := range c.desks {
					if fault == "kill" {
						desk.Kill()
						desk.Revive()
					}
				}
				if r := <-first; r.Outcome != "unknown" {
					t.Errorf("a booking whose service died got %+v", r)
				}
				for _, m := range c.vms {
					if r := c.book(m, key, "refund", false, 3*time.Second); r.Outcome != "unknown" {
						t.Errorf("its resend got %+v", r)
					}
				}
				if n := c.runsOf(key); n != 1 {
					t.Errorf("the booking ran %d times", n)
				}
			})
		})
	}
}

func TestPausedHolderDoesNotRunTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		key := newKey()
		first := make(chan response, 1)
		go func() { first <- c.book(c.vms[0], key, "refund", true, 5*time.Second) }()
		time.Sleep(3 * time.Millisecond)
		c.vms[0].life().gate.pause()
		time.Sleep(30 * time.Second)
		resend := c.book(c.vms[1], key, "refund", false, 5*time.Second)
		if resend.Outcome == "not_run" && c.runsOf(key) > 0 {
			t.Errorf("the resend was told %+v, but the refund ran", resend)
		}
		c.vms[0].life().gate.resume()
		r := <-first
		time.Sleep(5 * time.Second)
		if n := c.runsOf(key); n > 1 {
			t.Errorf("the refund ran %d times", n)
		}
		if r.Outcome == "not_run" && c.runsOf(key) > 0 {
			t.Errorf("the first was told %+v, but the refund ran", r)
		}
	})
}

func TestLogOutageRefusesBookingsAndServesAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.log.SetOutage(true)
		time.Sleep(2 * time.Second)
		key := newKey()
		started := time.Now()
		r := c.book(c.vms[0], key, "slot", true, 10*time.Second)
		if r.Outcome != "not_run" || time.Since(started) > time.Second {
			t.Errorf("a first booking in an outage got %+v after %s", r, time.Since(started))
		}
		if r := c.chat(c.vms[1], "hello", 5, 10*time.Second); r.Text != expected("hello", 5) {
			t.Errorf("an answer in an outage was %+v", r)
		}
		time.Sleep(time.Minute)
		if r := c.chat(c.vms[2], "hello", 5, 10*time.Second); r.Text != expected("hello", 5) {
			t.Errorf("an answer after a minute of outage was %+v", r)
		}
		c.log.SetOutage(false)
		time.Sleep(2 * time.Second)
		if r := c.book(c.vms[0], key, "slot", false, 10*time.Second); r.Outcome != "answered" {
			t.Errorf("the booking after the outage got %+v", r)
		}
		if n := c.runsOf(key); n != 1 {
			t.Errorf("the booking ran %d times", n)
		}
	})
}

func TestLostRepliesOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.log.DropEveryNthReply(1)
		for i := range 10 {
			key := newKey()
			if r := c.book(c.vms[i%3], key, "slot", true, 10*time.Second); r.Outcome != "answered" {
				t.Errorf("booking %d got %+v", i, r)
			}
			if n := c.runsOf(key); n != 1 {
				t.Errorf("booking %d ran %d times", i, n)
			}
		}
		answer := c.execute(c.vms[1], "change workspace counter priority 3", "one")
		again := c.execute(c.vms[2], "change workspace counter priority 3 if revision 1", "one")
		if !answer.Accepted || answer.Revision != again.Revision {
			t.Errorf("the command and its repetition got %+v and %+v", answer, again)
		}
	})
}

func TestPoisonCostsTwoEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.stopAll()
		for i := range 12 {
			r := c.chat(c.vms[i%4], standin.CrashMarker, 5, 10*time.Second)
			if r.Outcome == "answered" {
				t.Fatalf("a poisonous request got %+v", r)
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
		if r := c.chat(c.vms[0], "hello", 5, 10*time.Second); r.Text != expected("hello", 5) {
			t.Errorf("an innocent request got %+v", r)
		}
	})
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		defer c.stopAll()
		c.workers[0].SetLeaving(true)
		time.Sleep(3 * time.Second)
		before := len(c.workers[0].Ledger())
		for i := range 20 {
			if r := c.chat(c.vms[i%5], fmt.Sprint("hello ", i), 3, 10*time.Second); r.Outcome != "answered" {
				t.Errorf("request %d got %+v", i, r)
			}
		}
		if after := len(c.workers[0].Ledger()); after != before {
			t.Errorf("the leaving engine ran %d steps more", after-before)
		}
	})
}

func TestPlannedStopCutsNothing(t *testing.T) {
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
			if r := <-replies; r.Text != expected("long", 400) {
				t.Errorf("a planned stop cut off a request: %s %s", r.Outcome, r.Reason)
			}
		}
	})
}

func TestJoinerServesOnlyWhatPeersKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.kill(c.vms[2])
		if answer := c.execute(c.vms[0], "change workspace counter priority 5", "change"); !answer.Accepted {
			t.Fatalf("the change got %+v", answer)
		}
		time.Sleep(time.Second)
		c.log.SetOutage(true)
		c.start(c.vms[2])
		time.Sleep(10 * time.Second)
		if r := c.chat(c.vms[2], "hello", 3, 5*time.Second); r.Text != expected("hello", 3) {
			t.Errorf("a joiner in a log outage answered %+v", r)
		}
		if got := c.snapshot(c.vms[2]).Workspaces[0].Priority; got != 5 {
			t.Errorf("the joiner has priority %d in force", got)
		}
		c.log.SetOutage(false)
	})
}

func TestShorterLogRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		if answer := c.execute(c.vms[0], "change workspace counter priority 5", "change"); !answer.Accepted {
			t.Fatalf("the change got %+v", answer)
		}
		key := newKey()
		c.book(c.vms[0], key, "slot", true, 5*time.Second)
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
				t.Errorf("%s has %+v in force", m.name, got)
			}
			r := c.book(m, key, "slot", false, 3*time.Second)
			if r.Outcome == "not_run" {
				t.Errorf("%s told the resend %+v", m.name, r)
			}
		}
		if n := c.runsOf(key); n != 1 {
			t.Errorf("the booking ran %d times", n)
		}
		answer := c.execute(c.vms[2], "change workspace counter priority 6", "late")
		if !answer.Accepted {
			t.Errorf("a command after the repair got %+v", answer)
		}
		time.Sleep(time.Second)
		for _, m := range c.vms {
			if got := c.snapshot(m); got.Workspaces[0].Priority != 6 || got.Revision != answer.Revision {
				t.Errorf("%s has priority %d at revision %d, the command was accepted at %d", m.name, got.Workspaces[0].Priority, got.Revision, answer.Revision)
			}
		}
	})
}
