package fleet_test

import (
	"cmp"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// loadDigest returns the digest of a peer from the fields of a line.
func loadDigest(name string, fields map[string]string) lentilmux.LoadDigest {
	digest := lentilmux.LoadDigest{
		VM: name, VMCount: max(parseInt(fields["vms"]), 1), Zone: "thrissur", Addr: vmAddr(name), Incarnation: uint64(parseInt(fields["incarnation"])),
		Sequence: uint64(parseInt(fields["sequence"])), Suspects: strings.FieldsFunc(fields["suspects"], func(r rune) bool { return r == ',' }),
		Scope: map[string]lentilmux.DigestScope{"zone": lentilmux.ScopeZone, "fleet": lentilmux.ScopeFleet}[fields["scope"]],
	}
	digest.Stale, digest.Rules = fields["stale"] == "true", lentilmux.Revision(parseInt(fields["rules"]))
	for _, vm := range strings.FieldsFunc(fields["isolated"], func(r rune) bool { return r == ',' }) {
		digest.IsolatedVMs = append(digest.IsolatedVMs, lentilmux.HashVM(vm))
	}
	if upstream, remaining, ok := strings.Cut(fields["back_off"], ":"); ok {
		digest.BackOffs = []lentilmux.BackOffHint{{Upstream: lentilmux.HashUpstream(upstream), Remaining: parseDuration(remaining)}}
	}
	digest.Parts = partSuspicions(fields)
	digest.Shortages, digest.Refused = serviceShortages(fields), refusedRequests(fields)
	digest.Drains = announcedDrains(fields)
	if upstream, perSecond, ok := strings.Cut(fields["limit"], ":"); ok {
		digest.Limits = []lentilmux.UpstreamLimit{{Upstream: lentilmux.HashUpstream(upstream), Named: perSecond != "none", PerSecond: parseFloat(perSecond), Age: parseDuration(fields["age"])}}
	}
	if fields["zone"] != "" {
		digest.Zone = fields["zone"]
	}
	if upstream, streams, ok := strings.Cut(fields["loads"], ":"); ok {
		digest.Loads = []lentilmux.UpstreamLoad{{Upstream: lentilmux.HashUpstream(upstream), Streams: parseInt(streams), Reserved: 10}}
	}
	return digest
}

// connectResult returns the result of a test of an upstream's link.
func (s *scenario) connectResult(upstream string) lentilmux.Envelope {
	msg := lentilmux.ConnectResultMsg{Upstream: upstream}
	if s.linksLost {
		msg.Err = errors.New("no answer")
	}
	if s.noneListens {
		msg.Err = errors.WithType(errors.New("refused"), lentilmux.ErrNotListening)
	}
	return lentilmux.Envelope{Msg: msg}
}

// vmAddr returns the address of a VM with a name such as entry-3.
func vmAddr(name string) netip.AddrPort {
	_, number, _ := strings.Cut(name, "-")
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(parseInt(number))}), 7000)
}

// moveOutcomes are the outcomes of a move by their names in scenarios. A line
// without an outcome stands for an accepted move.
var moveOutcomes = map[string]lentilmux.MoveOutcome{
	"": lentilmux.MoveAccepted, "unknown": lentilmux.MoveUnknown, "not_in_flight": lentilmux.MoveNotInFlight,
	"hop_unavailable": lentilmux.MoveHopUnavailable, "rejected": lentilmux.MoveRejected,
}

// testRuleset returns a configuration with a model of eight layers, a service
// without layers and one workspace for each key.
func testRuleset(fields map[string]string) *lentilmux.Ruleset {
	model := &lentilmux.ModelProfile{
		Layers: 8, LayerBytes: 1000, CacheBytesPerToken: 8, StepTime: time.Millisecond, StepTimePerStream: 10 * time.Microsecond,
		PrefillTokensPerSecond: 100000, ActivationBytes: 1000, ZoneLinkBitRate: 1e9, TokensPerEvent: 3, TypicalPromptTokens: 500, TypicalAnswerTokens: 100,
		Accelerators: []lentilmux.Accelerator{{Name: "large", MemoryBytes: 8000, StepFactor: 2, PrefillFactor: 2}, {Name: "small", MemoryBytes: 6000, StepFactor: 6, PrefillFactor: 4}},
	}
	rules := &lentilmux.Ruleset{
		Version: lentilmux.Revision(parseInt(fields["version"])), Limits: lentilmux.CallerLimits{MaxBodyBytes: 1 << 20},
		Services: []lentilmux.ServiceRule{{Name: "desk-llm", Engine: model}, {Name: "ticket-app"}},
		Routes: []lentilmux.RouteRule{
			{Name: "llm", Host: "desk", Prefix: "/llm/", Kind: lentilmux.CallResumableStream, Targets: singleTarget("desk-llm"), Timeout: 20 * time.Second, FirstByteTarget: 500 * time.Millisecond, MaxAttempts: 2},
			{Name: "book", Host: "desk", Prefix: "/book/", Kind: lentilmux.CallOnce, Targets: singleTarget("ticket-app"), Timeout: time.Second, MaxAttempts: 1},
			{Name: "slots", Host: "desk", Prefix: "/book/slots/", Kind: lentilmux.CallRepeatable, Targets: singleTarget("ticket-app"), Timeout: time.Second, FirstByteTarget: 150 * time.Millisecond, MaxAttempts: 2},
			{Name: "probe", Host: "desk", Prefix: "/probe/", Kind: lentilmux.CallRepeatable, Targets: singleTarget("ticket-app"), Timeout: time.Second, MaxAttempts: 1, Anonymous: true},
		},
	}
	if fields["engine"] == "removed" {
		rules.Services[0].Engine = nil
	}
	for _, key := range strings.Split(fields["keys"], ",") {
		rules.Workspaces = append(rules.Workspaces, lentilmux.WorkspaceRule{Name: "workspace-" + key, Keys: []string{key}})
	}
	setPriorities(rules, fields)
	return rules
}

// singleTarget returns the targets of a route that has one service.
func singleTarget(service string) []lentilmux.RouteTarget {
	return []lentilmux.RouteTarget{{Service: service, Weight: 1}}
}

// upstreamRecord returns the store entry of an upstream from the fields of a
// line. The address is derived from the name.
func upstreamRecord(name string, fields map[string]string) *lentilmux.UpstreamRecord {
	record := &lentilmux.UpstreamRecord{
		ID: name, Service: "desk-llm", Zone: "kochi", Slots: 8, Accelerator: fields["accelerator"], Draining: fields["state"] == "draining",
		StartedAt: time.Unix(int64(parseInt(fields["started_at"])), 0),
	}
	if fields["service"] != "" {
		record.Service = fields["service"]
	}
	if fields["zone"] != "" {
		record.Zone = fields["zone"]
	}
	var sum byte
	for _, c := range []byte(name) {
		sum = sum*31 + c
	}
	record.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, sum}), 8080)
	record.Layers, record.HasLayers = parseLayers(fields["layers"])
	return record
}

// inboundRequest returns the request of an arrive line.
func inboundRequest(name string, fields map[string]string, now time.Time) lentilmux.InboundRequest {
	timeout := 10 * time.Second
	if fields["timeout"] != "" {
		timeout = parseDuration(fields["timeout"])
	}
	return lentilmux.InboundRequest{
		Forwarded: lentilmux.ForwardedRequest{VM: fields["from"], Workspace: fields["workspace"], PossibleRuns: parseInt(fields["runs"]), MaxUpstreams: parseInt(fields["max_upstreams"]), MinRules: lentilmux.Revision(parseInt(fields["min_rules"]))},
		ID:        lentilmux.RequestID(name), Host: "desk", Path: fields["path"], Key: fields["key"], ReceivedAt: now, Deadline: now.Add(timeout),
		SharedParts: parseParts(fields["parts"]), PromptTokens: parseInt(fields["prompt"]), MaxTokens: parseInt(fields["answer"]), ExpectedTokens: parseInt(fields["hint"]), Fingerprint: lentilmux.ComputeFingerprint(fields["body"], cmp.Or(fields["again"], name)), ResumeAfter: -1,
	}
}

// parseParts parses prompt parts, hexadecimal numbers separated by commas.
func parseParts(text string) (parts []lentilmux.PromptPart) {
	for _, id := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		value, _ := strconv.ParseUint(id, 16, 64)
		parts = append(parts, lentilmux.PromptPart(value))
	}
	return parts
}

// partSuspicions returns what a digest says of one prompt part, if it does.
func partSuspicions(fields map[string]string) (suspicions []lentilmux.PartSuspicion) {
	for _, part := range parseParts(fields["part"]) {
		suspicion := lentilmux.PartSuspicion{
			Part: part, Clears: parseInt(fields["clears"]), Round: parseInt(fields["round"]), Held: fields["held"] == "true", Age: parseDuration(fields["age"]),
		}
		for i := range parseInt(fields["crashes"]) {
			suspicion.Crashes = append(suspicion.Crashes, lentilmux.CrashID(i))
		}
		suspicions = append(suspicions, suspicion)
	}
	return suspicions
}

// parseFloat parses a number. Anything else is zero.
func parseFloat(text string) float64 {
	value, _ := strconv.ParseFloat(text, 64)
	return value
}

// parseLayers parses a layer range such as 0-3. It returns false if the field is
// missing.
func parseLayers(text string) (layers lentilmux.LayerRange, hasLayers bool) {
	first, last, ok := strings.Cut(text, "-")
	if !ok {
		return layers, false
	}
	return lentilmux.LayerRange{First: parseInt(first), Last: parseInt(last)}, true
}

// parseInt parses a number. A missing field is zero.
func parseInt(text string) int {
	value, _ := strconv.Atoi(text)
	return value
}

// parseDuration parses a duration. A missing field is zero.
func parseDuration(text string) time.Duration {
	value, _ := time.ParseDuration(text)
	return value
}
