package system

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

const (
	// massFailure is the number of other upstreams that break within
	// massWindow from which on a crash is put down to a common cause.
	massFailure = 2
	massWindow  = 2 * time.Second
)

// Suspect bounds how many upstreams one kind of request can crash. It reads
// the failures that arrived and writes Suspects.
//
// An attempt whose connection broke counts as a crash against the request's
// fingerprint, here and through the log on every VM. After the first crash a
// request with that fingerprint runs only as a trial, whose key is claimed in
// the log like that of a keyed call, so that one trial runs at a time in the
// whole system. At the second crash the fingerprint is quarantined.
//
// When several upstreams break at once, as with a rack or an availability zone,
// no single request is the cause; such crashes are not counted.
type Suspect struct{}

// Run implements [System].
func (s *Suspect) Run(t *table.Tables, now time.Time) {
	for _, failure := range t.Events.Failures {
		if failure.Kind == lentilmux.FailureCrash {
			s.crashed(t, now, failure)
		}
	}
	for i := len(t.Suspects.Rows) - 1; i >= 0; i-- {
		if now.Sub(t.Suspects.Rows[i].At) >= t.Limits.QuarantineFor {
			t.Suspects.Remove(t.Suspects.Rows[i].Fingerprint)
		}
	}
}

// crashed states in the log that a request's attempt broke an upstream.
func (s *Suspect) crashed(t *table.Tables, now time.Time, failure table.Failure) {
	r := t.Requests.Find(string(failure.Request))
	if r == nil || r.Epoch != failure.Epoch || failure.Stage >= len(r.Upstreams) {
		return
	}
	upstream := r.Upstreams[failure.Stage]
	if others := brokenTogether(t, now, upstream); others >= massFailure {
		t.Decide(now, lentilmux.Decision{
			What: "suspect", Subject: fingerprintText(r.Request.Fingerprint), Chosen: "not_counted",
			Reason: fmt.Sprintf("%d other upstreams broke with %s", others, upstream),
		})
		return
	}
	t.Self.LastIntent++
	appendCall(t, now, lentilmux.CallRecord{
		Kind: lentilmux.CallCrash, ID: fmt.Sprintf("%s-%d", t.Self.Incarnation, t.Self.LastIntent),
		VM: t.Self.Name, Incarnation: t.Self.Incarnation,
		Fingerprint: r.Request.Fingerprint, Upstream: upstream,
	})
	noteCrash(t, now, r.Request.Fingerprint, upstream)
}

// brokenTogether counts the other upstreams that broke just now.
func brokenTogether(t *table.Tables, now time.Time, upstream string) (count int) {
	for i := range t.Upstreams.Rows {
		u := &t.Upstreams.Rows[i]
		if u.Spec.Name != upstream && !u.CrashedAt.IsZero() && now.Sub(u.CrashedAt) < massWindow {
			count++
		}
	}
	return count
}

// noteCrash counts a crashed upstream against a fingerprint.
func noteCrash(t *table.Tables, now time.Time, fingerprint lentilmux.Fingerprint, upstream string) {
	key := fingerprintText(fingerprint)
	suspect := t.Suspects.Find(key)
	if suspect == nil {
		suspect = t.Suspects.Put(table.Suspect{Fingerprint: key})
	}
	suspect.At = now
	if slices.Contains(suspect.Upstreams, upstream) {
		return
	}
	suspect.Upstreams = append(suspect.Upstreams, upstream)
	chosen := "trial"
	if quarantined(t, suspect) {
		chosen = "quarantine"
	}
	t.Decide(now, lentilmux.Decision{
		What: "suspect", Subject: key, Chosen: chosen, Reason: "crashed " + strings.Join(suspect.Upstreams, ", "),
	})
}

// quarantined reports whether the suspect has crashed as many upstreams as it
// may.
func quarantined(t *table.Tables, suspect *table.Suspect) bool {
	return len(suspect.Upstreams) >= t.Limits.CrashesMost
}
