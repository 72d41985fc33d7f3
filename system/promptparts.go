package system

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// One part of a prompt can crash each upstream that begins to answer it, whatever
// else the request holds. Unlike requests with the part have unlike fingerprints,
// so crashes are counted against the parts of their prompts as well. All VMs read
// the counts from the log.

// partCrashMargin is the number of crashes by which a part needs more than a
// fingerprint to be quarantined, since sound requests have the part too.
const partCrashMargin = 1

// isPartQuarantined reports whether a suspect is a prompt part whose requests are
// refused.
func isPartQuarantined(t *table.Tables, suspect *table.CrashSuspect) bool {
	return suspect.Part && len(suspect.Upstreams) >= t.Limits.MaxCrashes+partCrashMargin
}

// partText formats a prompt part as the key of its suspect.
func partText(part lentilmux.PromptPart) string {
	return fingerprintText(lentilmux.Fingerprint(part))
}

// quarantinedPart returns a quarantined part of a request's prompt, or nil. A
// request that got tokens has none, since its parts crash nothing.
func quarantinedPart(t *table.Tables, r *table.Request) *table.CrashSuspect {
	if len(t.CrashSuspects.Rows) == 0 || r.DeliveredTokens > 0 {
		return nil
	}
	for _, part := range r.Request.SharedParts {
		if suspect := t.CrashSuspects.Find(partText(part)); suspect != nil && isPartQuarantined(t, suspect) {
			return suspect
		}
	}
	return nil
}

// addPartCrashes counts the crash of an upstream against the parts of a prompt, the
// last one first. A part is quarantined only if no later one has as many crashes,
// since fewer sound requests have a later part.
func addPartCrashes(t *table.Tables, now time.Time, parts []lentilmux.PromptPart, upstream string) {
	mostCrashes := 0
	for _, part := range slices.Backward(parts) {
		key := partText(part)
		suspect := t.CrashSuspects.Find(key)
		if suspect == nil {
			suspect = t.CrashSuspects.Put(table.CrashSuspect{Fingerprint: key, Part: true})
		}
		suspect.CrashedAt = now
		crashes := len(suspect.Upstreams) + 1
		tied := mostCrashes >= crashes && crashes >= t.Limits.MaxCrashes+partCrashMargin
		if slices.Contains(suspect.Upstreams, upstream) || tied {
			mostCrashes = max(mostCrashes, len(suspect.Upstreams))
			continue
		}
		mostCrashes = max(mostCrashes, crashes)
		suspect.Upstreams = append(suspect.Upstreams, upstream)
		if isPartQuarantined(t, suspect) {
			t.RecordDecision(now, lentilmux.Decision{What: "suspect", Subject: key, Chosen: "quarantine", Reason: "prompt part crashed " + strings.Join(suspect.Upstreams, ", ")})
		}
	}
}

// clearParts ends the suspicion of a request's parts on all VMs when the request
// gets tokens. A single crash is left to expire, to spare the log.
func clearParts(t *table.Tables, now time.Time, progress lentilmux.ProgressMsg) {
	r := t.Requests.Find(string(progress.Request))
	if r == nil || len(t.CrashSuspects.Rows) == 0 {
		return
	}
	for _, part := range r.Request.SharedParts {
		suspect := t.CrashSuspects.Find(partText(part))
		if suspect == nil || len(suspect.Upstreams) < t.Limits.MaxCrashes {
			continue
		}
		t.CrashSuspects.Remove(suspect.Fingerprint)
		t.Self.LastCallRecord++
		appendCall(t, now, lentilmux.CallRecord{
			Kind: lentilmux.CallRecordRelease, ID: fmt.Sprintf("%s-%d", t.Self.Incarnation, t.Self.LastCallRecord),
			VM: t.Self.Name, Incarnation: t.Self.Incarnation, Fingerprint: lentilmux.Fingerprint(part),
		})
	}
}
