package entryvm_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lentilmux.example/lentilmux"
)

// TestConfigurationSurvivesLogRetention guards against configuration that is lost
// when the log's retention drops the oldest commands. After enough commands for a
// snapshot, it trims the log and starts a VM without a running peer, which must
// load the complete configuration from the rest of the log.
func TestConfigurationSurvivesLogRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer c.stopAll()
		nextPriority := 0
		for nextPriority = 1; nextPriority <= c.limits.SnapshotRecords; nextPriority++ {
			text := fmt.Sprintf("change workspace counter priority %d", nextPriority)
			if answer := c.execute(c.vms[0], text, text); !answer.Accepted {
				t.Fatalf("%s: %+v", text, answer)
			}
		}
		time.Sleep(2 * time.Second)
		want := c.snapshot(c.vms[0])
		for _, m := range c.vms {
			c.kill(m)
			<-m.incarnation().done
		}
		c.log.Trim(lentilmux.StreamConfig, 50)
		c.start(c.vms[1])
		time.Sleep(10 * time.Second)
		got := c.snapshot(c.vms[1])
		if got.Revision != want.Revision || len(got.Upstreams) != len(want.Upstreams) || len(got.Workspaces) != 1 || got.Workspaces[0].Priority != nextPriority-1 {
			t.Errorf("applied: %+v; want revision %d with %d upstreams and priority %d", got, want.Revision, len(want.Upstreams), nextPriority-1)
		}
	})
}
