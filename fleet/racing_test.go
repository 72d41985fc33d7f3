package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
	"lentilmux.example/lentilmux/fleet"
)

// racingRequest is a request as its relay knows it.
type racingRequest struct {
	id         lentilmux.RequestID
	once       bool              // whether it may run once at most
	inFlight   []lentilmux.Epoch // of its attempts
	sends      int
	mayHaveRun bool
	delivered  int
}

// racingFleet is a VM whose messages arrive in random order.
type racingFleet struct {
	t        *rapid.T
	model    *fleet.Schedule
	now      time.Time
	sequence int
	offset   uint64
	requests []*racingRequest
	asked    map[lentilmux.CorrelationID]*racingRequest // by message that an answer decides on
}

// racingUpstreams are the upstreams with their layers; those without serve calls.
var racingUpstreams = map[string]string{"a": "0-3", "c": "0-3", "e": "0-3", "b": "4-7", "d": "4-7", "f": "4-7", "app-1": "", "app-2": "", "app-3": ""}

// newRacingFleet returns a VM that knows a configuration and all upstreams.
func newRacingFleet(t *rapid.T) *racingFleet {
	f := &racingFleet{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), asked: make(map[lentilmux.CorrelationID]*racingRequest)}
	f.model = fleet.New(fleet.Self{Name: "entry-1", Zone: "kochi", Incarnation: 1, Started: f.now}, fleet.DefaultLimits(), fleet.WithPathSelector(dispatch.NewCheapestPath(1)), fleet.WithDispatch(dispatch.NewTwoChoices(1)))
	rules := testRuleset(map[string]string{"version": "1", "keys": "k1"})
	for i := range rules.Services {
		if rules.Services[i].Engine != nil {
			rules.Services[i].Engine.Accelerators[0].MemoryBytes = 1 << 20
		}
	}
	for i := range rules.Routes {
		if rules.Routes[i].Kind != lentilmux.CallOnce {
			rules.Routes[i].MaxAttempts = 4
		}
	}
	f.tick(nil, lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamRules, AsOf: f.now, Updates: []lentilmux.StreamUpdate{{Key: "config", Offset: 1, Rules: rules}}})
	for _, name := range f.names() {
		f.register(name)
	}
	return f
}

func (f *racingFleet) names() (names []string) {
	for name := range racingUpstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// register sends the entry of an upstream.
func (f *racingFleet) register(name string) {
	fields := map[string]string{"accelerator": "large", "layers": racingUpstreams[name]}
	if racingUpstreams[name] == "" {
		fields["service"] = "ticket-app"
	}
	f.offset++
	f.tick(nil, lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamUpstreams, AsOf: f.now, Updates: []lentilmux.StreamUpdate{{Key: name, Offset: f.offset, Upstream: upstreamRecord(name, fields)}}})
}

// tick runs the model with one message and checks the tables. It carries out the answers,
// also those to earlier messages: a stream that waits to resume gets one later.
func (f *racingFleet) tick(request *racingRequest, msg lentilmux.Msg) {
	f.sequence++
	id := lentilmux.CorrelationID(f.sequence)
	if request != nil {
		f.asked[id] = request
	}
	effects, _ := f.model.Tick(f.now, []lentilmux.Envelope{{Msg: msg, CorrelationID: id}})
	f.check(msg)
	for _, effect := range effects {
		answer, ok := effect.(lentilmux.AnswerEffect)
		if asked := f.asked[answer.CorrelationID]; ok && asked != nil && slices.Contains(f.requests, asked) {
			f.carryOut(asked, msg, answer.Answer)
		}
	}
}

// carryOut carries out an answer that decides on a request.
func (f *racingFleet) carryOut(request *racingRequest, msg lentilmux.Msg, answer lentilmux.Answer) {
	switch x := answer.(type) {
	case lentilmux.AttemptAnswer:
		if request.once && (request.mayHaveRun || len(request.inFlight) > 0) {
			f.t.Fatalf("attempt %d of %s, which may have run already", x.Attempt.Epoch, request.id)
		}
		if x.Attempt.Request != request.id {
			f.t.Fatalf("%s got the attempt of %s", request.id, x.Attempt.Request)
		}
		request.inFlight = append(request.inFlight, x.Attempt.Epoch)
		request.sends++
	case lentilmux.RefusalAnswer:
		f.done(request, x.Refusal.Outcome)
	case lentilmux.WaitAnswer:
		if _, failed := msg.(lentilmux.ForwardFailedMsg); failed && len(request.inFlight) == 0 {
			f.t.Fatalf("%s waits with nothing in flight after %#v", request.id, msg)
		}
	}
}

// done ends a request.
func (f *racingFleet) done(request *racingRequest, outcome lentilmux.Outcome) {
	f.requests = slices.DeleteFunc(f.requests, func(r *racingRequest) bool { return r == request })
	f.tick(nil, lentilmux.ForwardDoneMsg{Request: request.id, Outcome: outcome})
}

// check compares the load of each upstream with the reservations of the requests.
func (f *racingFleet) check(after lentilmux.Msg) {
	loads, trials := make(map[string]fleet.Load), make(map[string]int)
	for _, request := range f.model.Tables().Requests.Rows {
		for _, reservation := range request.Reservations {
			load := loads[reservation.Upstream]
			load.Streams += reservation.Load.Streams
			load.PendingPromptTokens += reservation.Load.PendingPromptTokens
			load.Reserved += reservation.Load.Reserved
			loads[reservation.Upstream] = load
		}
		trials[request.TrialUpstream]++
	}
	for _, row := range f.model.Tables().Upstreams.Rows {
		if row.OwnLoad != loads[row.ID] {
			f.t.Fatalf("after %#v: load of %s is %+v, reserved %+v", after, row.ID, row.OwnLoad, loads[row.ID])
		}
		if row.Trials != trials[row.ID] {
			f.t.Fatalf("after %#v: %d trials at %s, requests have %d", after, row.Trials, row.ID, trials[row.ID])
		}
	}
}

// TestRacingReservations plays requests whose attempts stall, race, fail and are moved
// in any order. It guards against load that stays at an upstream or is taken off twice,
// trials that do not end, calls that run twice and requests that wait for an attempt
// that nobody made.
func TestRacingReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRacingFleet(t)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			f.step()
		}
		for len(f.requests) > 0 {
			f.done(f.requests[0], lentilmux.OutcomeAnswered)
		}
		for _, row := range f.model.Tables().Upstreams.Rows {
			if row.OwnLoad != (fleet.Load{}) || row.Trials != 0 {
				t.Fatalf("%s keeps load %+v and %d trials", row.ID, row.OwnLoad, row.Trials)
			}
		}
	})
}

// step plays one random message.
func (f *racingFleet) step() {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(f.t, "ms")) * time.Millisecond)
	action := rapid.SampledFrom([]string{"arrive", "report", "fail", "fail", "stall", "stall", "stall", "start", "move", "done"}).Draw(f.t, "action")
	switch action {
	case "arrive":
		f.arrive()
		return
	case "report":
		f.report()
		return
	}
	if len(f.requests) == 0 {
		return
	}
	request := rapid.SampledFrom(f.requests).Draw(f.t, "request")
	if action == "done" || len(request.inFlight) == 0 {
		f.done(request, lentilmux.OutcomeAnswered)
		return
	}
	epoch := rapid.SampledFrom(request.inFlight).Draw(f.t, "epoch")
	switch action {
	case "fail":
		f.fail(request, epoch)
	case "stall":
		f.tick(request, lentilmux.ForwardStalledMsg{Request: request.id, Epoch: epoch, Delivered: request.delivered})
	case "start":
		request.inFlight = []lentilmux.Epoch{epoch}
		request.delivered++
		f.tick(request, lentilmux.ForwardStartedMsg{Request: request.id, Epoch: epoch})
	case "move":
		msg := lentilmux.MoveResultMsg{Request: request.id, Epoch: epoch}
		msg.Answer.Outcome = rapid.SampledFrom([]lentilmux.MoveOutcome{lentilmux.MoveAccepted, lentilmux.MoveRejected, lentilmux.MoveHopUnavailable}).Draw(f.t, "outcome")
		f.tick(request, msg)
	}
}

// arrive sends a new request.
func (f *racingFleet) arrive() {
	path := rapid.SampledFrom([]string{"/llm/x", "/llm/x", "/llm/x", "/book/x", "/book/slots/x"}).Draw(f.t, "path")
	request := &racingRequest{id: lentilmux.RequestID(fmt.Sprint("r", f.sequence)), once: path == "/book/x"}
	fields := map[string]string{"path": path, "key": "k1", "prompt": "100", "answer": "20", "parts": rapid.SampledFrom([]string{"", "1,2", "1,3"}).Draw(f.t, "parts")}
	f.requests = append(f.requests, request)
	f.tick(request, lentilmux.ForwardMsg{Inbound: inboundRequest(string(request.id), fields, f.now)})
}

// fail ends one attempt of a request.
func (f *racingFleet) fail(request *racingRequest, epoch lentilmux.Epoch) {
	msg := lentilmux.ForwardFailedMsg{Request: request.id, Epoch: epoch, Delivered: request.delivered}
	msg.Kind = rapid.SampledFrom([]lentilmux.FailureKind{lentilmux.FailureDial, lentilmux.FailureCrash, lentilmux.FailureRefused}).Draw(f.t, "kind")
	switch msg.Kind {
	case lentilmux.FailureDial:
		msg.NotRun = true
	case lentilmux.FailureRefused:
		msg.Answered, msg.NotRun = true, rapid.Bool().Draw(f.t, "not_run")
	}
	request.mayHaveRun = request.mayHaveRun || !msg.NotRun
	request.inFlight = slices.DeleteFunc(request.inFlight, func(e lentilmux.Epoch) bool { return e == epoch })
	f.tick(request, msg)
}

// report answers or refuses a probe of an upstream.
func (f *racingFleet) report() {
	name := rapid.SampledFrom(f.names()).Draw(f.t, "upstream")
	msg := lentilmux.UpstreamReportMsg{Upstream: name, Report: lentilmux.UpstreamReport{Slowdown: 1, StartedAt: time.Unix(0, 0)}}
	msg.Report.Layers, msg.Report.HasLayers = parseLayers(racingUpstreams[name])
	if rapid.IntRange(0, 3).Draw(f.t, "refused") > 0 {
		msg.Err = &lentilmux.UpstreamError{Kind: lentilmux.FailureDial, Err: lentilmux.ErrNotListening}
	}
	f.tick(nil, msg)
}
