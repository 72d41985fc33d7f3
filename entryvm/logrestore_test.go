package entryvm_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/platformlog"
)

// fillerRecords is the number of records with which restoreLogAndGrow makes the
// log longer than it was before.
const fillerRecords = 40

// restoreLogAndGrow restores the log from a copy of the given age and makes it
// longer than it was, before any VM can read it. The new records change nothing.
func (c *cluster) restoreLogAndGrow(age time.Duration) {
	c.log.RestoreCopy(age)
	for i := range fillerRecords {
		config, err := platformlog.EncodeConfig(lentilmux.ConfigRecord{ID: fmt.Sprint("filler-", i), Who: "test"})
		if err != nil {
			c.t.Fatal(err)
		}
		call, err := platformlog.EncodeCall(lentilmux.CallRecord{Kind: lentilmux.CallRecordRelease, ID: fmt.Sprint("filler-", i), Fingerprint: 1})
		if err != nil {
			c.t.Fatal(err)
		}
		if err := c.log.Append(c.t.Context(), lentilmux.StreamConfig, [][]byte{config}); err != nil {
			c.t.Fatal(err)
		}
		if err := c.log.Append(c.t.Context(), lentilmux.StreamCalls, [][]byte{call}); err != nil {
			c.t.Fatal(err)
		}
	}
}

// cutAllFromLog cuts or restores the connections of all members to the log.
func (c *cluster) cutAllFromLog(cut bool) {
	for _, m := range c.vms {
		c.network.cutLog(m.addr, cut)
	}
}

// restart kills a member and starts it again.
func (c *cluster) restart(m *member) {
	c.kill(m)
	<-m.incarnation().done
	c.start(m)
}

// TestRestoredLogRevertsNoConfiguration guards against a log that is restored from
// a copy and grows past its old end before it is read again: an accepted command
// must stay in force on all VMs, on one that had not read it and on one that
// starts later, and later commands must apply alike on all.
func TestRestoredLogRevertsNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.stopAll()
		c.network.cutLog(c.vms[2].addr, true)
		if answer := c.execute(c.vms[0], "change workspace counter priority 5", "change"); !answer.Accepted {
			t.Fatalf("the change returned %+v", answer)
		}
		time.Sleep(500 * time.Millisecond)
		c.cutAllFromLog(true)
		time.Sleep(2 * time.Second) // reads in flight end
		c.restoreLogAndGrow(3 * time.Second)
		c.cutAllFromLog(false)
		time.Sleep(10 * time.Second)
		c.restart(c.vms[1])
		time.Sleep(10 * time.Second)
		c.checkPriority(5)
		answer := c.execute(c.vms[2], "change workspace counter priority 6", "late")
		if !answer.Accepted {
			t.Errorf("a command after the restore returned %+v", answer)
		}
		time.Sleep(time.Second)
		c.checkPriority(6)
		for _, m := range c.vms {
			if got := c.snapshot(m).Revision; got != answer.Revision {
				t.Errorf("%s is at revision %d, the command was accepted at %d", m.name, got, answer.Revision)
			}
		}
	})
}

// checkPriority checks the priority of the workspace on all members.
func (c *cluster) checkPriority(want int) {
	c.t.Helper()
	for _, m := range c.vms {
		if got := c.snapshot(m).Workspaces; len(got) != 1 || got[0].Priority != want {
			c.t.Errorf("%s has applied %+v, want priority %d", m.name, got, want)
		}
	}
}

// TestRestoredLogRunsNoBookingTwice guards against a booking that runs again, or
// is reported as not run, because its records are gone from a log that was
// restored from a copy and has grown past its old end. It is sent again through a
// VM that read the records, one that did not, and one that starts later.
func TestRestoredLogRunsNoBookingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.stopAll()
		c.network.cutLog(c.vms[2].addr, true)
		key := newIdempotencyKey()
		if r := c.sendBooking(c.vms[0], key, "slot", true, 5*time.Second); r.Outcome != "answered" {
			t.Fatalf("the booking returned %+v", r)
		}
		time.Sleep(500 * time.Millisecond)
		c.cutAllFromLog(true)
		time.Sleep(2 * time.Second) // reads in flight end
		c.restoreLogAndGrow(3 * time.Second)
		c.cutAllFromLog(false)
		time.Sleep(10 * time.Second)
		c.restart(c.vms[1])
		time.Sleep(10 * time.Second)
		for _, m := range c.vms {
			if r := c.sendBooking(m, key, "slot", false, 3*time.Second); r.Outcome == "not_run" {
				t.Errorf("%s returned %+v for the resend", m.name, r)
			}
		}
		if n := c.bookingRuns(key); n != 1 {
			t.Errorf("the booking ran %d times", n)
		}
	})
}

// TestLostCallOfKilledVMIsUnknown guards against a booking that runs again after a
// restore of the log if the only VM that had read its records is gone.
func TestLostCallOfKilledVMIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.network.cutLog(c.vms[1].addr, true)
		c.network.cutLog(c.vms[2].addr, true)
		time.Sleep(2 * time.Second) // reads in flight end
		key := newIdempotencyKey()
		if r := c.sendBooking(c.vms[0], key, "slot", true, 5*time.Second); r.Outcome != "answered" {
			t.Fatalf("the booking returned %+v", r)
		}
		c.kill(c.vms[0])
		<-c.vms[0].incarnation().done
		c.restoreLogAndGrow(time.Second)
		c.network.heal()
		time.Sleep(5 * time.Second)
		for _, m := range c.vms[1:] {
			if r := c.sendBooking(m, key, "slot", false, 3*time.Second); r.Outcome != "unknown" {
				t.Errorf("%s returned %+v for the resend, want an unknown outcome", m.name, r)
			}
		}
		if n := c.bookingRuns(key); n != 1 {
			t.Errorf("the booking ran %d times", n)
		}
	})
}

// TestVMStartedAfterRestoreServesBookings guards against a VM that takes its own
// start for the time of an earlier restore of the log, and so refuses all keys that
// were created before it.
func TestVMStartedAfterRestoreServesBookings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.log.RestoreCopy(time.Second)
		time.Sleep(c.limits.ClockSkew + 10*time.Second)
		key := newIdempotencyKey()
		for _, m := range c.vms {
			c.kill(m)
			<-m.incarnation().done
		}
		c.start(c.vms[0])
		time.Sleep(15 * time.Second)
		if r := c.sendBooking(c.vms[0], key, "slot", false, 5*time.Second); r.Outcome != "answered" {
			t.Errorf("a key from before the start of the VM returned %+v", r)
		}
	})
}

// copyAges are the ages of the copies from which steps restore the log.
var copyAges = []time.Duration{0, 10 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 10 * time.Second}

// restoreLog restores the log from a copy, provided that a VM knows all accepted
// commands. That VM becomes the keeper, since what no VM knows is lost with the log.
func restoreLog(c *cluster, h *history, age time.Duration) {
	if k := h.keeper; k != nil && k.running() && (k.incarnation().gate.paused() || !startedTimeline(c, k)) {
		return
	}
	for _, m := range c.vms {
		if m.running() && !m.incarnation().gate.paused() && missingWorkspace(c, h, m) == "" {
			h.keeper = m
			c.log.RestoreCopy(age)
			return
		}
	}
}

// killsKeeper reports whether a step would kill the keeper before the log has what
// the keeper knows.
func killsKeeper(c *cluster, h *history, s step) bool {
	m := c.vms[s.VM]
	return s.Kind == "kill" && m == h.keeper && (m.incarnation().gate.paused() || !startedTimeline(c, m) || missingWorkspace(c, h, m) != "")
}

// startedTimeline reports whether the configuration of a member belongs to the
// log's timeline.
func startedTimeline(c *cluster, m *member) bool {
	return c.snapshot(m).Timeline == c.log.Timeline()
}

// TestCommandKnownToPausedVMSurvivesRestore guards against an accepted command that
// is lost because the only VM that had read it was paused while the log was restored
// and the other VMs started the timeline. A command for the same workspace that was
// accepted since must not be undone.
func TestCommandKnownToPausedVMSurvivesRestore(t *testing.T) {
	cases := []struct {
		name  string
		later string // command that the other VMs accept meanwhile
		want  int
	}{
		{"unchanged", "create workspace other share 0.1 priority 1 uses desk-llm", 5},
		{"changed since", "change workspace counter priority 6", 6},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				defer c.stopAll()
				for _, m := range c.vms[1:] {
					c.network.cut(c.vms[0].addr, m.addr)
					c.network.cutLog(m.addr, true)
				}
				time.Sleep(2 * time.Second)
				if answer := c.execute(c.vms[0], "change workspace counter priority 5", "change"); !answer.Accepted {
					t.Fatalf("the change returned %+v", answer)
				}
				c.vms[0].incarnation().gate.pause()
				c.log.RestoreCopy(time.Second)
				c.network.heal()
				time.Sleep(20 * time.Second)
				if answer := c.execute(c.vms[1], tc.later, "later"); !answer.Accepted {
					t.Errorf("a command while the VM is paused returned %+v", answer)
				}
				c.vms[0].incarnation().gate.resume()
				time.Sleep(10 * time.Second)
				for _, m := range c.vms {
					if got := c.snapshot(m).Workspaces[0].Priority; got != tc.want {
						t.Errorf("%s has priority %d, want %d", m.name, got, tc.want)
					}
				}
				if difference := configurationDifference(c); difference != "" {
					t.Error(difference)
				}
			})
		})
	}
}

// TestVMStartedDuringRestoreRevertsNoConfiguration guards against a VM that starts
// before the restored log's timeline does, and reads entries that others never apply
// before it reaches a peer: its higher offset must not make the others take over its
// older configuration.
func TestVMStartedDuringRestoreRevertsNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		defer c.stopAll()
		if answer := c.execute(c.vms[0], "change workspace counter priority 5", "change"); !answer.Accepted {
			t.Fatalf("the change returned %+v", answer)
		}
		time.Sleep(500 * time.Millisecond)
		c.kill(c.vms[1])
		<-c.vms[1].incarnation().done
		c.restoreLogAndGrow(time.Second)
		for _, m := range c.vms {
			c.network.cut(c.vms[1].addr, m.addr)
		}
		c.start(c.vms[1])
		time.Sleep(500 * time.Millisecond)
		c.network.heal()
		time.Sleep(30 * time.Second)
		c.checkPriority(5)
		if answer := c.execute(c.vms[1], "change workspace counter priority 6", "late"); !answer.Accepted {
			t.Errorf("a command after the restore returned %+v", answer)
		}
		time.Sleep(time.Second)
		c.checkPriority(6)
	})
}

// TestAllVMsStartedAfterRestore guards against VMs that wait for each other for good
// if all of them start on a restored log whose timeline has not started.
func TestAllVMsStartedAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		for _, m := range c.vms {
			c.kill(m)
			<-m.incarnation().done
		}
		c.restoreLogAndGrow(time.Second)
		for _, m := range c.vms {
			c.start(m)
		}
		time.Sleep(20 * time.Second)
		if answer := c.execute(c.vms[1], "change workspace counter priority 6", "late"); !answer.Accepted {
			t.Errorf("a command after the restore returned %+v", answer)
		}
		time.Sleep(time.Second)
		c.checkPriority(6)
	})
}
