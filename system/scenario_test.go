package system_test

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/system"
	"lentilmux.example/lentilmux/table"
)

// TestScenarios guards the decisions of the node: each scenario file in
// testdata drives one node with timed events, and its decisions and effects
// must equal the golden file of the same name. A line of a scenario holds the
// time since the start, an event and the event's fields:
//
//	100ms arrive r1 workspace=counter model=lentil deadline=1s
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.scenario")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".scenario")
		t.Run(name, func(t *testing.T) {
			goldie.New(t).Assert(t, name, []byte(play(t, file)))
		})
	}
}

// scenario drives one node by a script of timed events.
type scenario struct {
	tables            *table.Tables
	schedule          *system.Schedule
	start             time.Time
	due               time.Time                          // time of the next tick
	messageTexts      map[lentilmux.CorrelationID]string // event and subject of the message, by correlation ID
	lastCorrelationID lentilmux.CorrelationID
	configOffset      uint64                 // end of the configuration stream
	callOffset        uint64                 // end of the calls stream
	lastDrain         lentilmux.ConfigEntry  // last drain command, for the event "repeat"
	timeline          lentilmux.Timeline     // of the log
	timelineStart     lentilmux.ConfigRecord // last snapshot that the node appended to start a timeline, for the event "start_timeline"
	out               strings.Builder
}

// play runs a scenario file and returns the printed events, decisions and
// effects.
func play(t *testing.T, file string) string {
	t.Helper()
	s := newScenario()
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

func newScenario() *scenario {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tables := table.New(table.Self{
		Name: "entry-1", Zone: "kochi", Addr: netip.MustParseAddrPort("127.0.0.1:7001"), Incarnation: "one", StartedAt: start,
	})
	return &scenario{
		tables: tables, schedule: system.New(tables), start: start, due: start, messageTexts: make(map[lentilmux.CorrelationID]string),
	}
}

// playLine plays one line of a script: it runs the ticks that are due before
// the line's time, then handles the line's event.
func (s *scenario) playLine(line string) (err error) {
	words := strings.Fields(line)
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return err
	}
	s.runUntil(s.start.Add(at))
	fmt.Fprintf(&s.out, "> %s\n", line)
	fields := make(map[string]string)
	for _, word := range words[2:] {
		if name, value, ok := strings.Cut(word, "="); ok {
			fields[name] = value
		}
	}
	msg, err := s.message(words, fields, s.start.Add(at))
	if err != nil || msg == nil {
		return err
	}
	s.tick(s.start.Add(at), msg, strings.Join(words[1:3], " "))
	return nil
}

// runUntil runs the ticks that the schedule requested before the given time.
func (s *scenario) runUntil(until time.Time) {
	for s.due.Before(until) {
		now := s.due
		effects, due := s.schedule.Tick(now, nil)
		s.printEffects(now, effects)
		s.due = due
		if !due.After(now) {
			s.due = now.Add(time.Millisecond)
		}
	}
}

// tick passes one message to the schedule. Answers to the message are printed
// with the given name.
func (s *scenario) tick(now time.Time, msg lentilmux.Msg, name string) {
	s.lastCorrelationID++
	s.messageTexts[s.lastCorrelationID] = name
	effects, due := s.schedule.Tick(now, []lentilmux.Envelope{{Msg: msg, CorrelationID: s.lastCorrelationID}})
	s.printEffects(now, effects)
	s.due = due
}

// message builds the message of a line, or nil if the line only waits.
func (s *scenario) message(words []string, fields map[string]string, now time.Time) (msg lentilmux.Msg, err error) {
	switch words[1] {
	case "config":
		return s.commandPage(strings.Join(words[2:], " "))
	case "log":
		return s.logEvent(words[2], fields)
	case "snapshot":
		revision, err := strconv.ParseUint(fields["revision"], 10, 64)
		return lentilmux.SnapshotMsg{Snapshot: lentilmux.Snapshot{Revision: lentilmux.Revision(revision)}}, err
	case "repeat":
		s.configOffset++
		s.lastDrain.Offset = s.configOffset - 1
		return lentilmux.ConfigPageMsg{End: s.configOffset, Entries: []lentilmux.ConfigEntry{s.lastDrain}}, nil
	case "restore":
		return s.restore(words[2], fields)
	case "start_timeline":
		s.configOffset++
		entry := lentilmux.ConfigEntry{Offset: s.configOffset - 1, Record: s.timelineStart}
		return lentilmux.ConfigPageMsg{Timeline: s.timeline, End: s.configOffset, Entries: []lentilmux.ConfigEntry{entry}}, nil
	case "call":
		return s.callPage(fields, now)
	case "arrive":
		return s.arrive(words[2], fields, now)
	case "fail":
		return s.fail(words[2], fields)
	case "tokens":
		return lentilmux.ProgressMsg{Request: lentilmux.RequestID(words[2]), Tokens: 1, Duration: time.Millisecond}, nil
	case "done":
		return lentilmux.RequestDoneMsg{Request: lentilmux.RequestID(words[2]), Outcome: outcomes[fields["outcome"]], Reply: lentilmux.ServiceReply{Status: 200}}, nil
	case "load":
		return s.load(words[2], fields)
	case "probe":
		return lentilmux.ProbeResultMsg{Upstream: words[2], Outcome: probeOutcome(fields)}, nil
	case "digest":
		return s.digest(words[2], fields)
	case "list":
		return lentilmux.VMListMsg{VMs: listedVMs(words[2:])}, nil
	case "stop":
		return lentilmux.StopRequestMsg{Request: lentilmux.RequestID(words[2])}, nil
	case "release":
		return lentilmux.ReleaseQuarantineMsg{Fingerprint: 7, Who: "operator"}, nil
	case "drain":
		return lentilmux.DrainMsg{}, nil
	case "wait":
		return nil, nil
	default:
		return nil, fmt.Errorf("unknown event %q", words[1])
	}
}

// probeOutcome returns the outcome of a probe with the field alive=true,
// alive=false or silent=true.
func probeOutcome(fields map[string]string) lentilmux.ProbeOutcome {
	switch {
	case fields["alive"] == "true":
		return lentilmux.ProbeAlive
	case fields["silent"] == "true":
		return lentilmux.ProbeSilent
	default:
		return lentilmux.ProbeDead
	}
}

var outcomes = map[string]lentilmux.Outcome{
	"answered": lentilmux.OutcomeAnswered, "not_run": lentilmux.OutcomeNotRun, "unknown": lentilmux.OutcomeUnknown,
}

var failureKinds = map[string]lentilmux.FailureKind{
	"refused": lentilmux.FailureRefused, "dial": lentilmux.FailureDial, "crash": lentilmux.FailureCrash, "malformed": lentilmux.FailureMalformed,
	"timeout": lentilmux.FailureTimeout, "aborted": lentilmux.FailureAborted,
}

func (s *scenario) arrive(id string, fields map[string]string, now time.Time) (msg lentilmux.Msg, err error) {
	deadline := 10 * time.Second
	if text := fields["deadline"]; text != "" {
		if deadline, err = time.ParseDuration(text); err != nil {
			return nil, err
		}
	}
	request := lentilmux.Request{
		ID: lentilmux.RequestID(id), Workspace: fields["workspace"], Model: fields["model"], Service: fields["service"],
		SharedParts: parseParts(fields["parts"]), Method: fields["method"], Key: fields["key"], FirstWithKey: fields["attempt"] == "1", Deadline: now.Add(deadline), Fingerprint: 7,
	}
	if request.Key != "" {
		request.KeyCreatedAt = now
		if age := fields["age"]; age != "" {
			keyAge, err := time.ParseDuration(age)
			if err != nil {
				return nil, err
			}
			request.KeyCreatedAt = now.Add(-keyAge)
		}
	}
	if fingerprint := fields["fingerprint"]; fingerprint != "" {
		number, err := strconv.ParseUint(fingerprint, 10, 64)
		if err != nil {
			return nil, err
		}
		request.Fingerprint = lentilmux.Fingerprint(number)
	}
	return lentilmux.RequestMsg{Request: request}, nil
}

// parseParts parses prompt parts, decimal numbers separated by commas.
func parseParts(text string) (parts []lentilmux.PromptPart) {
	for _, id := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		value, _ := strconv.ParseUint(id, 10, 64)
		parts = append(parts, lentilmux.PromptPart(value))
	}
	return parts
}

func (s *scenario) fail(id string, fields map[string]string) (msg lentilmux.Msg, err error) {
	epoch, err := strconv.Atoi(fields["epoch"])
	if err != nil {
		return nil, err
	}
	stage, _ := strconv.Atoi(fields["stage"])
	return lentilmux.AttemptFailedMsg{
		Request: lentilmux.RequestID(id), Epoch: lentilmux.Epoch(epoch), Stage: stage, Kind: failureKinds[fields["kind"]],
	}, nil
}

func (s *scenario) load(name string, fields map[string]string) (msg lentilmux.Msg, err error) {
	if fields["error"] != "" {
		return lentilmux.LoadReportMsg{Upstream: name, Err: os.ErrDeadlineExceeded}, nil
	}
	report := lentilmux.LoadReport{Model: fields["model"], Leaving: fields["leaving"] == "true"}
	if first, last, ok := strings.Cut(fields["holds"], "-"); ok {
		report.HasLayers = true
		if report.Layers.First, err = strconv.Atoi(first); err != nil {
			return nil, err
		}
		if report.Layers.Last, err = strconv.Atoi(last); err != nil {
			return nil, err
		}
	}
	return lentilmux.LoadReportMsg{Upstream: name, Report: report}, nil
}

func (s *scenario) digest(name string, fields map[string]string) (msg lentilmux.Msg, err error) {
	revision, _ := strconv.ParseUint(fields["revision"], 10, 64)
	digest := lentilmux.Digest{
		VM: name, Zone: "thrissur", Addr: netip.MustParseAddrPort("127.0.0.1:7002"), Incarnation: fields["incarnation"],
		Revision: lentilmux.Revision(revision),
	}
	if leaving := fields["leaving"]; leaving != "" {
		digest.Leaving = strings.Split(leaving, ",")
	}
	return lentilmux.DigestMsg{Digest: digest, RTT: time.Millisecond}, nil
}

// listedVMs parses words such as entry-2=entry or worker-1=leaving as a VM
// list.
func listedVMs(words []string) (vms []lentilmux.ListedVM) {
	for _, word := range words {
		name, state, _ := strings.Cut(word, "=")
		vm := lentilmux.ListedVM{Name: name, Role: lentilmux.RoleUpstream, Leaving: state == "leaving"}
		if state == "entry" {
			vm.Role, vm.Addr = lentilmux.RoleEntry, netip.MustParseAddrPort("127.0.0.1:7002")
		}
		vms = append(vms, vm)
	}
	return vms
}

// printEffects prints the effects that describe has a text for.
func (s *scenario) printEffects(now time.Time, effects []lentilmux.Effect) {
	for _, effect := range effects {
		if text := s.describe(effect); text != "" {
			fmt.Fprintf(&s.out, "  %s %s\n", now.Sub(s.start), text)
		}
	}
}

func (s *scenario) describe(effect lentilmux.Effect) string {
	switch effect := effect.(type) {
	case lentilmux.DecisionEffect:
		d := effect.Decision
		return fmt.Sprintf("%s %s: %s (%s) %v", d.What, d.Subject, d.Chosen, d.Reason, d.Considered)
	case lentilmux.AnswerEffect:
		return s.describeAnswer(s.messageTexts[effect.CorrelationID], effect.Answer)
	case lentilmux.CallAppendEffect:
		return fmt.Sprintf("append %s %s key=%s outcome=%s", effect.Record.Kind, effect.Record.ID, effect.Record.Key, effect.Record.Outcome)
	case lentilmux.ConfigAppendEffect:
		snapshot := effect.Record.Snapshot
		if snapshot == nil || !snapshot.StartsTimeline {
			return ""
		}
		s.timelineStart = effect.Record
		return fmt.Sprintf("append snapshot of revision %d, starts timeline %d", snapshot.Revision, snapshot.Timeline)
	case lentilmux.OrderEffect:
		return fmt.Sprintf("send order %s %d-%d fence %d", effect.Upstream, effect.Order.Layers.First, effect.Order.Layers.Last, effect.Order.Fence)
	case lentilmux.ProbeEffect:
		return "send probe " + effect.Upstream
	case lentilmux.AbortEffect:
		return fmt.Sprintf("abort %s epoch %d", effect.Request, effect.Epoch)
	case lentilmux.CancelEffect:
		return fmt.Sprintf("cancel %s (%s)", effect.Request, effect.Reason)
	case lentilmux.FetchSnapshotEffect:
		return "fetch snapshot from " + effect.VM
	default:
		return "" // exchanges and requests for load reports are left out
	}
}

func (s *scenario) describeAnswer(messageText string, answer lentilmux.Answer) string {
	switch answer := answer.(type) {
	case lentilmux.RouteAnswer:
		return fmt.Sprintf("answer [%s]: route epoch %d", messageText, answer.Route.Epoch)
	case lentilmux.RefusalAnswer:
		return fmt.Sprintf("answer [%s]: refused %s, %s, retry after %s", messageText, answer.Refusal.Reason, answer.Refusal.Outcome, answer.Refusal.RetryAfter)
	case lentilmux.StoredReplyAnswer:
		return fmt.Sprintf("answer [%s]: remembered, status %d", messageText, answer.Reply.Status)
	case lentilmux.CommandAnswer:
		return fmt.Sprintf("answer [%s]: accepted %t, known %t, %s", messageText, answer.Accepted, answer.OutcomeKnown, answer.Detail)
	case lentilmux.DrainedAnswer:
		return fmt.Sprintf("answer [%s]: drained", messageText)
	default:
		return ""
	}
}
