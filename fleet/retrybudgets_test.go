package fleet

import (
	"fmt"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
)

// TestBorrowingStaysInBudget lets all VMs of a fleet spend retries until they are
// refused, with a fleet-wide sum that still says that none was used. The pattern
// is a fault that all VMs see at once, sooner than they learn of each other's
// retries. Together they must stay within the deployment's budget.
func TestBorrowingStaysInBudget(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const vms, requestsEach = 80, 60
	bounds := Bounds{RetryRatio: 0.2, RetrySlack: 360, RetryWindow: 10 * time.Second}
	retries := 0
	for range vms {
		tables := newTables(Self{Name: "entry-0", Zone: "kochi"}, DefaultLimits().Within(bounds))
		for i := 1; i < vms; i++ {
			tables.VMs.GetOrCreate(fmt.Sprintf("entry-%d", i))
		}
		tables.FleetLoads = FleetLoads{ReceivedAt: now, VMCount: vms, RetryCounts: []lentilmux.RetryCounts{{Service: "desk-llm", Requests: vms * requestsEach}}}
		for range requestsEach {
			tables.RetryBudgets.GetOrCreate("desk-llm").countRequest(now, bounds.RetryWindow)
		}
		for tables.spendRetry("desk-llm", now) {
			retries++
		}
	}
	if budget := bounds.RetryRatio*vms*requestsEach + bounds.RetrySlack; float64(retries) > budget {
		t.Errorf("%d VMs spent %d retries, of a budget of %.0f", vms, retries, budget)
	}
}
