package entryvm

import (
	"encoding/json"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
)

// TestExplainView guards against an explanation that operators cannot read: a field that
// is missing, an age that is not known shown as 0, or a bad parameter taken for a number.
func TestExplainView(t *testing.T) {
	var out strings.Builder
	show := func(name string, value any) {
		text, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString(name + ": " + string(text) + "\n")
	}
	show("sent", newExplainView(&lentilmux.ExplainAnswer{
		VM: "entry-1", Rules: 7, RulesAge: 120 * time.Millisecond, LoadsAge: 300 * time.Millisecond, Route: "llm", Service: "desk-llm", Ranked: true, Priority: 12,
		AnswerTokens: 220, Learned: true, Upstream: "a", Path: []lentilmux.Hop{{Upstream: "a", Layers: lentilmux.LayerRange{Last: 3}}}, FirstEvent: 90 * time.Millisecond, EventGap: 30 * time.Millisecond, MaxMemoryUse: 0.5, UnseenRequests: 2,
		Candidates: []lentilmux.ExplainedUpstream{{Upstream: "a", Zone: "kochi", HasLayers: true, Layers: lentilmux.LayerRange{Last: 3}, Streams: 4, Reserved: 100, Capacity: 400, StepFactor: 2}, {Upstream: "b", Zone: "kochi", Excluded: "drains"}},
	}))
	show("refused", newExplainView(&lentilmux.ExplainAnswer{VM: "entry-1", LoadsAge: -1, Refusal: &lentilmux.Refusal{Reason: lentilmux.ReasonNoUpstream, Detail: "nothing has room", RetryAfter: 1500 * time.Millisecond}}))
	show("forwarded", newExplainView(&lentilmux.ExplainAnswer{VM: "entry-1", LoadsAge: -1, ToPeer: true}))
	for _, text := range []string{"host=desk", "host=desk&path=/x&max_tokens=-1", "host=desk&path=/x&prompt_tokens=many"} {
		query, err := url.ParseQuery(text)
		if err != nil {
			t.Fatal(err)
		}
		_, err = parseExplainQuery(query, time.Time{})
		out.WriteString(text + ": " + err.Error() + "\n")
	}
	goldie.New(t).Assert(t, "explain", []byte(out.String()))
}
