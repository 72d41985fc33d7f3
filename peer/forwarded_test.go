package peer_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/peer"
)

// TestForwardedHeaders guards against a change of the headers between VMs of different
// versions, and against malformed ones that are taken for a promise.
func TestForwardedHeaders(t *testing.T) {
	var out strings.Builder
	header := http.Header{"Accept": {"*/*"}}
	sent := lentilmux.ForwardedRequest{VM: "edge-1", Workspace: "päper & co\r\n", Fingerprint: 0xfedcba9876543210, PossibleRuns: 2, MaxUpstreams: 1, MinRules: 1 << 63}
	peer.SetForwarded(header, sent)
	fmt.Fprintf(&out, "request: %v\n", header)
	if read, err := peer.ReadForwarded(header); err != nil || read != sent || !peer.IsForwarded(header) {
		t.Errorf("read %+v, %v; sent %+v", read, err, sent)
	}
	peer.RemoveForwardedHeaders(header)
	fmt.Fprintf(&out, "without: %v\n", header)
	for _, text := range []string{"", "workspace=w", "fingerprint=1&possible_runs=-1", "fingerprint=x&possible_runs=0", "fingerprint=1&possible_runs=", "fingerprint=1&possible_runs=0", "fingerprint=1&possible_runs=0&min_rules=0", "fingerprint=1&max_upstreams=0&possible_runs=0&min_rules=0", "fingerprint=1&max_upstreams=x&possible_runs=0&min_rules=0", "%zz"} {
		_, err := peer.ReadForwarded(http.Header{"Lentilmux-Forwarded-By": {"edge-1"}, "Lentilmux-Forwarded-For": {text}})
		fmt.Fprintf(&out, "for %q: %v\n", text, err)
	}
	answer := make(http.Header)
	peer.SetRefusal(answer, &lentilmux.Refusal{Outcome: lentilmux.OutcomeNotRun, Reason: lentilmux.ReasonNoUpstream, Detail: "nothing, of 3", RetryAfter: 1500 * time.Millisecond})
	fmt.Fprintf(&out, "refusal: %v\n", answer)
	for _, text := range []string{"", answer.Get("Lentilmux-Forwarded-Refusal"), "outcome=not_run&retry_after_ms=99999999999999", "outcome=answered", "outcome=not_run&retry_after_ms=-1", "%zz"} {
		refusal := peer.ReadRefusal(http.Header{"Lentilmux-Forwarded-Refusal": {text}})
		if refusal == nil {
			fmt.Fprintf(&out, "refusal %q: none\n", text)
			continue
		}
		fmt.Fprintf(&out, "refusal %q: %s %q, %q, after %s\n", text, refusal.Outcome, refusal.Reason, refusal.Detail, refusal.RetryAfter)
	}
	goldie.New(t).Assert(t, "forwarded", []byte(out.String()))
}
