package lentilmux

import (
	"strconv"
	"strings"
	"time"
)

// PromptPart identifies one part of a prompt, such as the instructions that many
// callers send first. Requests whose prompts share text share parts.
type PromptPart uint64

// OwnPart returns the part that stands for a whole request. It is known to belong to
// that request alone, and to repeats of it, whatever kind of request it is. A request
// without a fingerprint has none, which ok reports.
func OwnPart(fingerprint Fingerprint) (part PromptPart, ok bool) {
	if fingerprint == 0 {
		return 0, false
	}
	return PromptPart(ComputeFingerprint("request", strconv.FormatUint(uint64(fingerprint), 16))), true
}

// String returns the part in hexadecimal, as log lines show it.
func (p PromptPart) String() string { return strconv.FormatUint(uint64(p), 16) }

// FormatPromptParts returns the first limit parts, separated by commas, for a log
// line. It returns "none" if there are no parts.
func FormatPromptParts(parts []PromptPart, limit int) string {
	if len(parts) == 0 {
		return "none"
	}
	var text strings.Builder
	for i, part := range parts[:min(len(parts), limit)] {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(part.String())
	}
	if len(parts) > limit {
		text.WriteString(",...")
	}
	return text.String()
}

// CrashID identifies the crash of one process of an upstream.
type CrashID uint32

// ComputeCrashID returns the ID of the crash of an upstream's process that started
// at the given time.
func ComputeCrashID(upstream string, startedAt time.Time) CrashID {
	return CrashID(ComputeFingerprint(upstream, strconv.FormatInt(startedAt.UnixMilli(), 10)))
}

// PartSuspicion is what VMs tell each other of a prompt part that may crash
// upstreams. Of two suspicions of a part, the one with more Clears replaces the
// other; with the same number, they add up to the larger Round and to all Crashes,
// and the part is held if one of them says so.
type PartSuspicion struct {
	Part     PromptPart
	Position int           // largest index at which prompts had the part
	Clears   int           // how often the part was found sound
	Round    int           // crashes in a row, each in an attempt that was sent when the previous one was known
	Crashes  []CrashID     // the last crashes, at most [MaxCrashIDs]
	Held     bool          // whether requests with the part are refused
	Age      time.Duration // since the last crash
	Own      bool          // whether it stands for a whole request, see [OwnPart]; false also if the VM that sends it does not know
}

// MaxCrashIDs bounds the crashes that are kept of one prompt part.
const MaxCrashIDs = 12

// HeldPartKeyPrefix starts the keys of held prompt parts in [StreamVMs].
const HeldPartKeyPrefix = "held_part/"

// HeldPartKey returns the key of a held prompt part in [StreamVMs].
func HeldPartKey(part PromptPart) string { return HeldPartKeyPrefix + part.String() }

// HeldPartRecord is the entry in the store of a prompt part that is held. It
// outlives all VMs.
type HeldPartRecord struct {
	Part        PromptPart
	Clears      int
	Round       int
	LastCrashAt time.Time
	Own         bool // whether it stands for a whole request; false also if the VM that wrote it did not know
}

// ReleasePartMsg ends the suspicion of a prompt part on an operator's request. The
// answer is a [ReleasePartAnswer].
type ReleasePartMsg struct {
	Part PromptPart
	Who  string // who asks, for the log
}

// ReleasePartAnswer answers a [ReleasePartMsg].
type ReleasePartAnswer struct {
	Found bool // whether the part was suspected
}

// HeldPartsEffect publishes the prompt parts that this VM holds. It is sent
// whenever they change.
type HeldPartsEffect struct {
	Parts []HeldPartRecord
}
