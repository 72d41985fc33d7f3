package peer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
)

// TestShortagesInDigests guards against a digest of a build that does not know shortages
// that is read as a shortage of the most urgent priority, against other bytes than those of
// that build where there is none, against ages that shrink from relay to relay, and against
// priorities out of range.
func TestShortagesInDigests(t *testing.T) {
	var out strings.Builder
	digest := mixedDigest()
	without := sentBytes(t, digest)
	fmt.Fprintf(&out, "without: %d bytes, read as %v\n", len(without)/2, receivedDigest(t, without).Shortages)
	digest.Shortages = []lentilmux.ServiceShortage{{Service: lentilmux.HashService("desk-llm"), Priority: 0, Age: 300*time.Millisecond + 1}, {Service: lentilmux.HashService("other"), Priority: 12}}
	with := sentBytes(t, digest)
	fmt.Fprintf(&out, "with two: %d bytes more, read as %v\n", (len(with)-len(without))/2, receivedDigest(t, with).Shortages)
	outOfRange := without + "b201021064" // field 22 with the priority 100
	fmt.Fprintf(&out, "priority out of range: read as %v\n", receivedDigest(t, outOfRange).Shortages)
	goldie.New(t).Assert(t, "shortages", []byte(out.String()))
}
