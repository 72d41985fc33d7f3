package admission_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/admission"
)

// TestUrgentFirstOrders guards against an order that depends on the order of the input or
// contradicts itself: random bursts of requests are sorted from two random orders. Those
// below the guaranteed share must come first, then the more urgent, then the returning.
func TestUrgentFirstOrders(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	policy := admission.UrgentFirst{}
	for range 200 {
		burst := make([]lentilmux.ShortageRequest, 50)
		for i := range burst {
			burst[i] = lentilmux.ShortageRequest{Priority: random.IntN(3), Returning: random.IntN(2) == 0, Since: time.Unix(0, int64(i)), ServedShare: []float64{0.1, 0.9}[random.IntN(2)]}
		}
		shuffled := slices.Clone(burst)
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		slices.SortFunc(burst, policy.Compare)
		slices.SortFunc(shuffled, policy.Compare)
		if !slices.Equal(burst, shuffled) {
			t.Fatal("the order depends on the order of the input")
		}
		for i := 1; i < len(burst); i++ {
			before, after := burst[i-1], burst[i]
			switch {
			case before.ServedShare != after.ServedShare:
				if before.ServedShare > after.ServedShare {
					t.Fatalf("%+v is before %+v, which lacks its share", before, after)
				}
			case before.Priority > after.Priority:
				t.Fatalf("%+v is before %+v, which is more urgent", before, after)
			case before.Priority == after.Priority && after.Returning && !before.Returning:
				t.Fatalf("%+v is before %+v, which returns", before, after)
			}
		}
	}
}

// TestRetryFraction guards against a reserve that keeps the most urgent requests, or
// those of a service with one priority, from the retry budget.
func TestRetryFraction(t *testing.T) {
	for _, c := range []struct {
		rank, count int
		want        float64
	}{{0, 0, 1}, {0, 1, 1}, {0, 3, 1}, {1, 3, 0.85}, {2, 3, 0.7}, {9, 3, 0.7}, {-1, 2, 1}} {
		if got := (admission.UrgentFirst{}).RetryFraction(c.rank, c.count); got != c.want {
			t.Errorf("rank %d of %d may use %v of the budget, want %v", c.rank, c.count, got, c.want)
		}
	}
}
