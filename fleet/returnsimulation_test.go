package fleet_test

import (
	"fmt"
	"testing"
	"time"
)

// TestBurstOfReturns plays a burst of twice as many requests as there is room for, and
// newcomers that alone would need half of the room after it. Callers that are refused
// return once. It guards against callers that return together, while the streams that
// took the room go on, and against newcomers that take the room before them: six tenths
// of the burst have to be served at last, half of it at the first try, and nine tenths of
// the newcomers.
func TestBurstOfReturns(t *testing.T) {
	const pairs, burstAt = 6, 3 * time.Second
	for _, vms := range []int{6, 24} {
		for seed := range uint64(3) {
			p := newUrgencyPlay(t, seed, vms, pairs, "llm:0,bulk:0,rest:0")
			burst, newcomers := p.kinds[0], p.kinds[1]
			for range 2 * pairs * urgencyStreams {
				p.after(burstAt+time.Duration(p.random.Int64N(int64(200*time.Millisecond))), func() { p.ask(burst, "") })
			}
			newcomers.perSecond = 0.5 * pairs * urgencyStreams
			p.play()
			label := fmt.Sprintf("%d VMs, seed %d", vms, seed)
			if burst.share() < 0.6 || newcomers.share() < 0.9 {
				t.Errorf("%s: served %.2f of the burst, %.2f of the newcomers", label, burst.share(), newcomers.share())
			}
		}
	}
}
