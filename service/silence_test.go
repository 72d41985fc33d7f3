package service

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
)

// timerDelay is how late the kernel may run a timer.
const timerDelay = 50 * time.Millisecond

// closedAfter models the kernel's rule for a connection on which nothing is sent
// but probes: how long after the last byte it is closed if the peer answers no probe
// from quiet on, for silence. It returns zero if it is kept.
func (t silenceTimers) closedAfter(quiet, silence time.Duration) (closed time.Duration) {
	heard, probes := time.Duration(0), 0
	for now := t.idle + timerDelay; now < quiet+silence+time.Minute; {
		switch {
		case now-heard >= t.userTimeout && probes > 0:
			return now
		case now < quiet || now >= quiet+silence:
			heard, probes = now, 0
			now += t.idle + timerDelay
		default:
			probes++
			now += t.interval + timerDelay
		}
	}
	return 0
}

// worstClose returns the shortest silence that closes a connection, over all phases
// between the last probe and the silence, and the longest time from the beginning of a
// silence that does not end to the close.
func (t silenceTimers) worstClose() (shortest, longest time.Duration) {
	const step = 10 * time.Millisecond
	for quiet := time.Duration(0); quiet < 2*t.idle; quiet += step {
		longest = max(longest, t.closedAfter(quiet, time.Hour)-quiet)
		for silence := step; shortest == 0 || silence < shortest; silence += step {
			if t.closedAfter(quiet, silence) > 0 {
				shortest = silence
				break
			}
		}
	}
	return shortest, longest
}

// TestSilenceTimers guards against timers that close a connection within a silence
// that is tolerated, because the quiet before it counts too or a time is rounded by
// the kernel. The golden file shows the timers and what they do.
func TestSilenceTimers(t *testing.T) {
	var out strings.Builder
	for _, tolerated := range []time.Duration{300 * time.Millisecond, time.Second, lentilmux.ToleratedSilence, 2 * time.Second, 5 * time.Second} {
		timers := newSilenceTimers(tolerated)
		shortest, longest := timers.worstClose()
		fmt.Fprintf(&out, "tolerated=%s idle=%s interval=%s count=%d user_timeout=%s shortest_silence_that_closes=%s longest_until_close=%s\n", tolerated, timers.idle, timers.interval, timers.count, timers.userTimeout, shortest, longest)
		if shortest <= tolerated || timers.userTimeout <= tolerated {
			t.Errorf("a silence of %s closes a connection, tolerated are %s", shortest, tolerated)
		}
		if timers.idle%keepAliveUnit != 0 || timers.interval%keepAliveUnit != 0 {
			t.Errorf("idle %s or interval %s is rounded by the kernel", timers.idle, timers.interval)
		}
	}
	timers := newSilenceTimers(lentilmux.ToleratedSilence)
	for _, quiet := range []time.Duration{0, 500 * time.Millisecond, 990 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond, 30 * time.Second} {
		for _, silence := range []time.Duration{800 * time.Millisecond, time.Second, 1200 * time.Millisecond, lentilmux.ToleratedSilence, time.Hour} {
			fmt.Fprintf(&out, "quiet=%s silence=%s closed_after_last_byte=%s\n", quiet, silence, timers.closedAfter(quiet, silence))
		}
	}
	goldie.New(t).Assert(t, "silence_timers", []byte(out.String()))
}
