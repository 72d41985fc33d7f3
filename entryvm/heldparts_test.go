package entryvm

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
)

// releasingNode is a node that knows one suspected prompt part.
type releasingNode struct{ part lentilmux.PromptPart }

func (n releasingNode) Tick(_ time.Time, batch []lentilmux.Envelope) (effects []lentilmux.Effect, nextTick time.Time) {
	for _, envelope := range batch {
		if x, ok := envelope.Msg.(lentilmux.ReleasePartMsg); ok {
			effects = append(effects, lentilmux.AnswerEffect{CorrelationID: envelope.CorrelationID, Answer: lentilmux.ReleasePartAnswer{Found: x.Part == n.part}})
		}
	}
	return effects, time.Now().Add(time.Hour)
}

// TestHeldPartsEndpoint guards against an operator who can neither see which
// prompt parts are refused nor release them.
func TestHeldPartsEndpoint(t *testing.T) {
	g := &Gateway{node: lentilmux.NewNode(releasingNode{part: 0xbeef})}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go g.node.Run(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+heldPartsPath, g.listHeldParts)
	mux.HandleFunc("POST "+releasePartPath, g.releaseHeldPart)
	var out strings.Builder
	call := func(method, target string) {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(method, target, nil))
		fmt.Fprintf(&out, "%s %s: %d %s\n", method, target, recorder.Code, strings.TrimSpace(recorder.Body.String()))
	}
	call("GET", "/held_parts")
	g.heldParts.publish([]lentilmux.HeldPartRecord{{Part: 0xbeef, Round: 3, LastCrashAt: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}})
	call("GET", "/held_parts")
	call("POST", "/held_parts/release?part=beef")
	call("POST", "/held_parts/release?part=cafe")
	call("POST", "/held_parts/release?part=beef:800")
	call("POST", "/held_parts/release")
	call("GET", "/held_parts/release?part=beef")
	goldie.New(t).Assert(t, "held_parts", []byte(out.String()))
}
