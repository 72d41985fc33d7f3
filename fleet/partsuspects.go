package fleet

import (
	"cmp"
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

const (
	// maxPartSuspects bounds the suspected prompt parts, whatever parts callers
	// send.
	maxPartSuspects = 256
	// maxPartsInDigest bounds the suspected prompt parts in one digest.
	maxPartsInDigest = 64
	// partGossipDuration is how long a change of a part that is not held is
	// repeated in digests.
	partGossipDuration = 3 * time.Second
)

// PartSuspectRow is a prompt part that may crash upstreams, or that was found
// sound after it was suspected.
type PartSuspectRow struct {
	Part        lentilmux.PromptPart
	Clears      int       // how often the part was found sound, on any VM
	Crashes     int       // upstreams that crashed in a row, each in an attempt that was sent when the previous crash was known
	Held        bool      // whether requests with the part are refused until heldUntil
	LastCrashAt time.Time // by the clock of this VM
	ChangedAt   time.Time // when this VM learned of the last change
	TrialAt     time.Time // when this VM last let a request with the part pass after the hold had ended
	StoredBy    time.Time // when this VM last wrote the hold to the store
	MustStore   bool      // whether this VM has to write the hold until it reads it back
}

// PartEvidence is what was known of a prompt part when an attempt was sent.
type PartEvidence struct {
	Clears  int
	Crashes int
}

// PartSuspects is the table of prompt parts that may crash upstreams.
type PartSuspects struct {
	Rows  []*PartSuspectRow
	Sound SoundParts

	indexByPart map[lentilmux.PromptPart]int
	heldChanged bool // whether the held parts changed since they were published
}

// Find returns the row of a part, or nil if it was never suspected.
func (p *PartSuspects) Find(part lentilmux.PromptPart) *PartSuspectRow {
	if i, ok := p.indexByPart[part]; ok {
		return p.Rows[i]
	}
	return nil
}

// GetOrCreate returns the row of a part and adds one if there is none. If the
// table is full, the row that matters least makes room.
func (p *PartSuspects) GetOrCreate(part lentilmux.PromptPart) *PartSuspectRow {
	if row := p.Find(part); row != nil {
		return row
	}
	if len(p.Rows) >= maxPartSuspects {
		p.remove(slices.MinFunc(p.Rows, comparePartSuspects).Part)
	}
	if p.indexByPart == nil {
		p.indexByPart = make(map[lentilmux.PromptPart]int)
	}
	row := &PartSuspectRow{Part: part}
	p.indexByPart[part] = len(p.Rows)
	p.Rows = append(p.Rows, row)
	return row
}

// remove removes the row of a part.
func (p *PartSuspects) remove(part lentilmux.PromptPart) {
	i, ok := p.indexByPart[part]
	if !ok {
		return
	}
	last := len(p.Rows) - 1
	p.Rows[i] = p.Rows[last]
	p.indexByPart[p.Rows[i].Part] = i
	p.Rows = p.Rows[:last]
	delete(p.indexByPart, part)
}

// comparePartSuspects orders rows by how much they matter: held parts last, then
// those with more crashes, then those that changed later.
func comparePartSuspects(a, b *PartSuspectRow) int {
	if a.Held != b.Held {
		if a.Held {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Crashes, b.Crashes), a.ChangedAt.Compare(b.ChangedAt), cmp.Compare(a.Part, b.Part))
}

// evidence returns what is known of parts, or nil if none of them was ever
// suspected.
func (p *PartSuspects) evidence(parts []lentilmux.PromptPart) (evidence []PartEvidence) {
	if len(p.Rows) == 0 {
		return nil
	}
	for i, part := range parts {
		row := p.Find(part)
		if row == nil {
			continue
		}
		if evidence == nil {
			evidence = make([]PartEvidence, len(parts))
		}
		evidence[i] = PartEvidence{Clears: row.Clears, Crashes: row.Crashes}
	}
	return evidence
}

// suspicions returns the rows to tell peers of, those that matter most first:
// held parts, and others for partGossipDuration after each change.
func (p *PartSuspects) suspicions(now time.Time) (suspicions []lentilmux.PartSuspicion) {
	var rows []*PartSuspectRow
	for _, row := range p.Rows {
		if row.Held || now.Sub(row.ChangedAt) < partGossipDuration {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *PartSuspectRow) int { return comparePartSuspects(b, a) })
	for _, row := range rows[:min(len(rows), maxPartsInDigest)] {
		suspicions = append(suspicions, lentilmux.PartSuspicion{
			Part: row.Part, Clears: row.Clears, Crashes: row.Crashes, Held: row.Held, Age: now.Sub(row.LastCrashAt),
		})
	}
	return suspicions
}

// SoundParts remembers, within bounds, the parts of prompts that were answered
// lately, in two generations.
type SoundParts struct {
	current, previous map[lentilmux.PromptPart]bool
	rotatedAt         time.Time
}

// maxSoundParts bounds the parts of one generation.
const maxSoundParts = 2048

// record records that a prompt with the part was answered.
func (s *SoundParts) record(part lentilmux.PromptPart, now time.Time, window time.Duration) {
	if s.current == nil || len(s.current) >= maxSoundParts || now.Sub(s.rotatedAt) >= window {
		s.previous, s.current, s.rotatedAt = s.current, make(map[lentilmux.PromptPart]bool), now
	}
	s.current[part] = true
}

// contains reports whether a prompt with the part was answered within the window,
// or up to one window before that.
func (s *SoundParts) contains(part lentilmux.PromptPart, now time.Time, window time.Duration) bool {
	age := now.Sub(s.rotatedAt)
	return age < 2*window && s.current[part] || age < window && s.previous[part]
}
