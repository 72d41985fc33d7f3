package fleet_test

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/dispatch"
	"lentilmux.example/lentilmux/fleet"
)

// TestScenarios guards against unintended changes of decisions and effects. It
// plays each scenario in testdata and compares the decisions and effects with
// the golden file of the same name. A line of a scenario is the time since the
// start, an event and its fields:
//
//	100ms arrive r1 path=/llm/x key=k1 prompt=500 answer=100
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.scenario")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".scenario")
		t.Run(name, func(t *testing.T) {
			goldie.New(t).Assert(t, name, []byte(playScenario(t, file)))
		})
	}
}

// scenario plays the events of a file to one entry VM.
type scenario struct {
	paused      bool                 // whether the control goroutine does not run
	queued      []lentilmux.Envelope // messages of the next tick
	model       *fleet.Schedule
	start       time.Time
	now         time.Time // of the last tick
	nextTick    time.Time
	labels      map[lentilmux.CorrelationID]string
	lastID      lentilmux.CorrelationID
	position    lentilmux.LogPosition                // of the last entry of any stream
	entries     map[string]*lentilmux.UpstreamRecord // newest entry of each upstream
	epochs      map[string]lentilmux.Epoch
	tables      *fleet.Tables
	lastDigests []string // digests of the last tick that sent any
	linksLost   bool     // whether no upstream accepts a connection of the VM
	noneListens bool     // whether the addresses of all upstreams refuse connections
	out         strings.Builder
}

// playScenario plays a scenario file and returns its decisions and effects as
// text.
func playScenario(t *testing.T, file string) string {
	t.Helper()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	model := fleet.New(fleet.Self{
		Name: "entry-2", Zone: "kochi", Addr: netip.MustParseAddrPort("10.0.0.2:7000"), Incarnation: 1, Started: start,
	}, fleet.DefaultLimits(), fleet.WithPathSelector(dispatch.NewCheapestPath(1)), fleet.WithDispatch(dispatch.NewTwoChoices(1)))
	s := &scenario{model: model, start: start, nextTick: start, labels: make(map[lentilmux.CorrelationID]string), epochs: make(map[string]lentilmux.Epoch), entries: make(map[string]*lentilmux.UpstreamRecord), tables: model.Tables()}
	s.playFile(t, file)
	return s.out.String()
}

// playFile plays the lines of a file. The line "include setup" plays the common
// setup without printing it.
func (s *scenario) playFile(t *testing.T, file string) {
	t.Helper()
	source, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = source.Close() }()
	scanner := bufio.NewScanner(source)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case line == "include setup":
			s.playFile(t, "testdata/setup.part")
			s.out.Reset()
		default:
			if err := s.playLine(line); err != nil {
				t.Fatalf("%s: %q: %v", file, line, err)
			}
		}
	}
}

// playLine runs the ticks that are due before the time of a line, and then one
// with its event.
func (s *scenario) playLine(line string) (err error) {
	words := strings.Fields(line)
	elapsed, err := time.ParseDuration(words[0])
	if err != nil {
		return err
	}
	now := s.start.Add(elapsed)
	for !s.paused && !s.nextTick.After(now) {
		s.tick(s.nextTick)
	}
	fmt.Fprintf(&s.out, "> %s\n", line)
	fields := make(map[string]string)
	for _, word := range words[2:] {
		if name, value, ok := strings.Cut(word, "="); ok {
			fields[name] = value
		}
	}
	switch words[1] {
	case "pause": // no tick runs, and messages queue
		s.paused = true
		return nil
	case "resume": // one tick gets them all
		s.paused = false
		s.tick(now, s.queued...)
		s.queued = nil
		return nil
	}
	msg, err := s.message(words, fields, now)
	if err != nil || msg == nil {
		return err
	}
	s.lastID++
	s.labels[s.lastID] = strings.Join(words[1:min(len(words), 3)], " ")
	s.queued = append(s.queued, lentilmux.Envelope{Msg: msg, CorrelationID: s.lastID})
	if !s.paused {
		s.tick(now, s.queued...)
		s.queued = nil
	}
	return nil
}

// message returns the message for a line, or nil if the line only prints,
// records progress or lets time pass.
func (s *scenario) message(words []string, fields map[string]string, now time.Time) (msg lentilmux.Msg, err error) {
	name := ""
	if len(words) > 2 {
		name = words[2]
	}
	switch words[1] {
	case "wait":
		return nil, nil
	case "rules":
		return s.streamUpdates(lentilmux.StreamRules, now, lentilmux.StreamUpdate{Key: "config", Rules: testRuleset(fields)}), nil
	case "restore":
		s.position = lentilmux.LogPosition{Timeline: s.position.Timeline + 1, Offset: uint64(parseInt(fields["offset"]))}
		return nil, nil
	case "upstreams":
		return s.listUpstreams(now, words[2:]), nil
	case "upstream":
		s.entries[name] = upstreamRecord(name, fields)
		return s.streamUpdates(lentilmux.StreamUpstreams, now, lentilmux.StreamUpdate{Key: name, Upstream: s.entries[name]}), nil
	case "entry_removed":
		return s.streamUpdates(lentilmux.StreamUpstreams, now, lentilmux.StreamUpdate{Key: name}), nil
	case "undecodable":
		return s.streamUpdates(lentilmux.StreamUpstreams, now, lentilmux.StreamUpdate{Key: name, DecodeError: "unreadable"}), nil
	case "read":
		return lentilmux.StreamUpdatesMsg{Stream: lentilmux.Stream(name), AsOf: now.Add(-parseDuration(fields["age"])), Position: s.position}, nil
	case "read_failed":
		return lentilmux.StreamReadFailedMsg{Stream: lentilmux.Stream(name), Err: errors.New("no answer")}, nil
	case "behind":
		return lentilmux.StreamBehindMsg{Stream: lentilmux.Stream(name), Position: s.position, End: s.position.Offset + uint64(parseInt(fields["unread"]))}, nil
	case "digest":
		return lentilmux.LoadDigestMsg{Digest: loadDigest(name, fields)}, nil
	case "vm_record":
		return s.streamUpdates(lentilmux.StreamVMs, now, lentilmux.StreamUpdate{Key: name, VM: &lentilmux.VMRecord{Name: name, Zone: fields["zone"], Addr: vmAddr(name)}}), nil
	case "show":
		s.show(name)
		return nil, nil
	case "arrive":
		return lentilmux.ForwardMsg{Inbound: inboundRequest(name, fields, now)}, nil
	case "explain":
		return lentilmux.ExplainMsg{Inbound: inboundRequest(name, fields, now), Workspace: fields["workspace"]}, nil
	case "started":
		return lentilmux.ForwardStartedMsg{Request: lentilmux.RequestID(name), Epoch: s.epoch(name, fields)}, nil
	case "stalled":
		return lentilmux.ForwardStalledMsg{Request: lentilmux.RequestID(name), Epoch: s.epoch(name, fields), Delivered: parseInt(fields["delivered"])}, nil
	case "failed":
		return s.failedAttempt(name, fields), nil
	case "done":
		return s.requestDone(name, fields), nil
	case "progress":
		for _, id := range strings.Split(name, ",") {
			s.tables.Upstreams.Find(id).Progress.Record(now)
		}
		return nil, nil
	case "report":
		return s.report(name, fields), nil
	case "order_result":
		row := s.tables.Upstreams.Find(name)
		return lentilmux.RangeOrderResultMsg{Upstream: name, Order: lentilmux.RangeOrder{Layers: row.Target, ExpectedOrders: row.AcceptedOrders}, Accepted: fields["accepted"] != "false"}, nil
	case "move_result":
		return s.moveResult(name, fields), nil
	case "limit":
		return upstreamLimit(name, fields), nil
	case "listening":
		s.noneListens = name == "none"
		return nil, nil
	case "links":
		s.linksLost = name == "lost"
		return nil, nil
	case "drains":
		return upstreamDrain(name, fields), nil
	case "refused":
		return upstreamBackOff(name, fields), nil
	case "release_part":
		return lentilmux.ReleasePartMsg{Part: parseParts(name)[0], Who: "operator"}, nil
	case "held_part":
		record := &lentilmux.HeldPartRecord{Part: parseParts(name)[0], Round: parseInt(fields["round"]), LastCrashAt: now.Add(-parseDuration(fields["age"]))}
		return s.streamUpdates(lentilmux.StreamVMs, now, lentilmux.StreamUpdate{Key: lentilmux.HeldPartKey(record.Part), HeldPart: record}), nil
	case "record_removed":
		return s.streamUpdates(lentilmux.StreamVMs, now, lentilmux.StreamUpdate{Key: lentilmux.HeldPartKey(parseParts(name)[0])}), nil
	case "records":
		return s.listRecords(now, words[2:]), nil
	case "drain":
		return lentilmux.BeginDrainMsg{}, nil
	}
	return nil, errors.Errorf("unknown event %q", words[1])
}

// requestDone returns the message for the end of a request: an answer, or the cause
// for which the caller got none, or for which the relay refused it.
func (s *scenario) requestDone(name string, fields map[string]string) lentilmux.Msg {
	msg := lentilmux.ForwardDoneMsg{Request: lentilmux.RequestID(name), Outcome: lentilmux.OutcomeAnswered, Status: 200, Duration: parseDuration(fields["took"])}
	if cause := lentilmux.EndCause(fields["unanswered"]); cause != "" {
		msg.Outcome, msg.Reason, msg.Status = lentilmux.OutcomeUnknown, lentilmux.ReasonUpstreamFailed, parseInt(fields["status"])
		msg.End = lentilmux.RequestEnd{Cause: cause, Unanswered: true, Epoch: s.epochs[name], Failures: parseInt(fields["failed"]), LastFailure: lentilmux.FailureCrash, Canceled: parseInt(fields["canceled"])}
	}
	if cause := lentilmux.EndCause(fields["refused"]); cause != "" {
		msg.Outcome, msg.Reason, msg.Status = lentilmux.OutcomeNotRun, lentilmux.ReasonDraining, 503
		msg.End.Cause, msg.End.Panic = cause, fields["panic"]
	}
	return msg
}

// streamUpdates returns the message for a read of one entry of a stream.
func (s *scenario) streamUpdates(stream lentilmux.Stream, now time.Time, update lentilmux.StreamUpdate) lentilmux.Msg {
	s.position.Offset++
	update.Offset = s.position.Offset
	return lentilmux.StreamUpdatesMsg{Stream: stream, AsOf: now, Position: s.position, Updates: []lentilmux.StreamUpdate{update}}
}

// listUpstreams returns the message for a listing of the given upstreams, each with
// its newest entry or, if a state such as a:draining or a start time such as a@7 is
// given, with that. All have the offset 0, as in the copy from which the store was
// restored.
func (s *scenario) listUpstreams(now time.Time, names []string) lentilmux.Msg {
	msg := lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamUpstreams, AsOf: now, Position: s.position, AllKeys: true}
	for _, name := range names {
		id, startedAt, hasStart := strings.Cut(name, "@")
		id, state, _ := strings.Cut(id, ":")
		record := *s.entries[id]
		if state != "" {
			record.Draining = state == "draining"
		}
		if hasStart {
			record.StartedAt = time.Unix(int64(parseInt(startedAt)), 0)
		}
		msg.Updates = append(msg.Updates, lentilmux.StreamUpdate{Key: id, Upstream: &record})
	}
	return msg
}

// listRecords returns the message for a listing of the records of VMs and held parts.
// Parts were held since 20 seconds ago, after three rounds.
func (s *scenario) listRecords(now time.Time, names []string) lentilmux.Msg {
	msg := lentilmux.StreamUpdatesMsg{Stream: lentilmux.StreamVMs, AsOf: now, Position: s.position, AllKeys: true}
	for _, name := range names {
		update := lentilmux.StreamUpdate{Key: name, Offset: s.position.Offset}
		if strings.HasPrefix(name, "entry-") {
			update.VM = &lentilmux.VMRecord{Name: name, Zone: "kochi", Addr: vmAddr(name)}
		} else {
			part := parseParts(name)[0]
			update.Key, update.HeldPart = lentilmux.HeldPartKey(part), &lentilmux.HeldPartRecord{Part: part, Round: 3, LastCrashAt: now.Add(-20 * time.Second)}
		}
		msg.Updates = append(msg.Updates, update)
	}
	return msg
}

// epoch returns the epoch that a line names, or that of the request's newest
// attempt.
func (s *scenario) epoch(name string, fields map[string]string) lentilmux.Epoch {
	if epoch := parseInt(fields["epoch"]); epoch > 0 {
		return lentilmux.Epoch(epoch)
	}
	return s.epochs[name]
}

// failedAttempt returns the message for a failed attempt.
func (s *scenario) failedAttempt(name string, fields map[string]string) lentilmux.Msg {
	kinds := map[string]lentilmux.FailureKind{
		"dial": lentilmux.FailureDial, "crash": lentilmux.FailureCrash, "timeout": lentilmux.FailureTimeout, "refused": lentilmux.FailureRefused,
		"too_large": lentilmux.FailureTooLarge, "no_memory": lentilmux.FailureNoMemory, "malformed": lentilmux.FailureMalformed,
	}
	msg := lentilmux.ForwardFailedMsg{
		Request: lentilmux.RequestID(name), Epoch: s.epoch(name, fields), Kind: kinds[fields["kind"]], Detail: fields["detail"],
		NotRun: fields["not_run"] == "true", NotListening: fields["listening"] == "none", Answered: fields["answered"] == "true", Delivered: parseInt(fields["delivered"]),
	}
	if row := s.tables.Upstreams.Find(fields["blamed"]); row != nil {
		msg.BlamedUpstream = row.Addr
	}
	if reason := lentilmux.Reason(fields["peer_refusal"]); reason != "" {
		msg.PeerRefusal = &lentilmux.Refusal{Reason: reason, Detail: "refused by the peer", RetryAfter: parseDuration(fields["retry_after"])}
		if msg.Kind, msg.Answered = lentilmux.FailureRefused, true; msg.NotRun {
			msg.PeerRefusal.Outcome = lentilmux.OutcomeNotRun
		}
	}
	return msg
}

// moveResult returns the message for an answer to a move.
func (s *scenario) moveResult(name string, fields map[string]string) lentilmux.Msg {
	msg := lentilmux.MoveResultMsg{Request: lentilmux.RequestID(name), Epoch: s.epoch(name, fields)}
	msg.Answer.Outcome, msg.Answer.Status = moveOutcomes[fields["outcome"]], parseInt(fields["status"])
	if row := s.tables.Upstreams.Find(fields["hop"]); row != nil {
		msg.Answer.UnavailableHop = row.Addr
	}
	if msg.Answer.Outcome == lentilmux.MoveUnknown {
		msg.Err = errors.New("no answer")
	}
	return msg
}

// report returns the message for a report of an upstream, or for a failed probe.
func (s *scenario) report(name string, fields map[string]string) lentilmux.Msg {
	if fields["error"] != "" {
		kind := map[string]lentilmux.FailureKind{
			"refused": lentilmux.FailureDial, "unreachable": lentilmux.FailureDial, "late": lentilmux.FailureTimeout, "malformed": lentilmux.FailureMalformed,
		}[fields["error"]]
		cause := errors.New(fields["error"])
		if fields["error"] == "refused" {
			cause = errors.WithType(cause, lentilmux.ErrNotListening)
		}
		return lentilmux.UpstreamReportMsg{Upstream: name, Err: &lentilmux.UpstreamError{Kind: kind, Err: cause}, Took: parseDuration(fields["took"])}
	}
	report := lentilmux.UpstreamReport{AcceptedOrders: parseInt(fields["accepted_orders"]), Slowdown: 1, StartedAt: time.Unix(int64(parseInt(fields["started_at"])), 0), Draining: fields["draining"] == "true"}
	report.Layers, report.HasLayers = parseLayers(fields["layers"])
	if fields["slowdown"] != "" {
		report.Slowdown = float64(parseInt(fields["slowdown"]))
	}
	return lentilmux.UpstreamReportMsg{Upstream: name, Report: report}
}

// upstreamLimit returns the message for an answer of an upstream that names a
// limit, such as 6.9, an invalid one, or none.
func upstreamLimit(name string, fields map[string]string) lentilmux.Msg {
	limit := lentilmux.RequestLimit{Named: fields["named"] != "none", Invalid: fields["named"] == "invalid", PerSecond: parseFloat(fields["named"])}
	return lentilmux.UpstreamLimitMsg{Request: "answered", Upstream: name, Limit: limit}
}
