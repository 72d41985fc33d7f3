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
// sound after it was suspected. It may stand for a whole request.
// [lentilmux.PartSuspicion] describes the fields that VMs share.
type PartSuspectRow struct {
	Part        lentilmux.PromptPart
	Position    int
	Own         bool
	Clears      int
	Round       int
	Crashes     []lentilmux.CrashID
	Held        bool      // whether requests with the part are refused until the hold ends
	HeldAt      time.Time // when this VM began to hold it
	LastCrashAt time.Time // by the clock of this VM
	ChangedAt   time.Time // when this VM learned of the last change
	TrialAt     time.Time // when this VM last let a request with the part pass after the hold had ended
	Decided     bool      // whether this VM decided on the hold
	StoredAt    time.Time // when this VM last wrote the hold to the store, or deleted it there
	MustStore   bool      // whether the hold has to be written until it is read back
	MustDelete  bool      // whether an outdated hold has to be deleted until its deletion is read
}

// addCrash adds the ID of a crash, unless it is known. The oldest ID makes room.
func (p *PartSuspectRow) addCrash(crash lentilmux.CrashID) {
	if slices.Contains(p.Crashes, crash) {
		return
	}
	if len(p.Crashes) >= lentilmux.MaxCrashIDs {
		p.Crashes = slices.Delete(p.Crashes, 0, 1)
	}
	p.Crashes = append(p.Crashes, crash)
}

// record returns the row as the store keeps it.
func (p *PartSuspectRow) record() lentilmux.HeldPartRecord {
	return lentilmux.HeldPartRecord{Part: p.Part, Clears: p.Clears, Round: p.Round, LastCrashAt: p.LastCrashAt, Own: p.Own}
}

// PartEvidence is what was known of a prompt part when an attempt was sent.
type PartEvidence struct {
	Clears int
	Round  int
}

// PartSuspects is the table of prompt parts that may crash upstreams.
type PartSuspects struct {
	Rows   []*PartSuspectRow
	Broken []BrokenAttempt
	Sound  SoundParts
	// SoundRequests are the parts that stand for whole requests which were answered.
	SoundRequests SoundParts
	JudgeAt       time.Time // when the cause of the last crashes is decided; zero if nothing is to decide
	// JudgeDelayed tells whether that decision already waited for the digests of
	// peers.
	JudgeDelayed bool

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

// comparePartSuspects orders rows by how much they matter: held parts last, and of
// these the ones that many requests have, then those with more crashes, then those that
// changed later.
func comparePartSuspects(a, b *PartSuspectRow) int {
	if a.Held != b.Held {
		if a.Held {
			return 1
		}
		return -1
	}
	if a.Own != b.Own && a.Held {
		if b.Own {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Round, b.Round), cmp.Compare(len(a.Crashes), len(b.Crashes)), a.ChangedAt.Compare(b.ChangedAt), cmp.Compare(a.Part, b.Part))
}

// evidence returns what is known of parts, or nil if none of them was ever
// suspected. Broken attempts count as crashes here, so that the crash of an attempt
// that is sent before they are confirmed is a round of its own.
func (p *PartSuspects) evidence(parts []lentilmux.PromptPart) (evidence []PartEvidence) {
	if len(p.Rows) == 0 && len(p.Broken) == 0 {
		return nil
	}
	evidence = make([]PartEvidence, len(parts))
	for i, part := range parts {
		if row := p.Find(part); row != nil {
			evidence[i] = PartEvidence{Clears: row.Clears, Round: row.Round}
		}
		for _, broken := range p.Broken {
			if j := slices.Index(broken.Parts, part); j >= 0 && broken.AtSend[j].Clears == evidence[i].Clears {
				evidence[i].Round = max(evidence[i].Round, broken.AtSend[j].Round+1)
			}
		}
	}
	return evidence
}

// isExplained reports whether other held parts explain all crashes of a part.
func (p *PartSuspects) isExplained(row *PartSuspectRow) bool {
	return len(row.Crashes) > 0 && (p.unexplained(row) == 0 || p.isBeside(row) || row.Own && p.isAmongDropped(row))
}

// unexplained returns the number of crashes of a part that are not also crashes of
// another held part. A held request explains none: each request with a part that
// crashes upstreams is soon held for itself.
func (p *PartSuspects) unexplained(row *PartSuspectRow) (count int) {
	for _, crash := range row.Crashes {
		if !slices.ContainsFunc(p.Rows, func(other *PartSuspectRow) bool {
			return other.Held && !other.Own && other != row && slices.Contains(other.Crashes, crash)
		}) {
			count++
		}
	}
	return count
}

// anySuspected reports whether one of the parts is held, has unexplained crashes or
// was in a broken attempt.
func (p *PartSuspects) anySuspected(parts []lentilmux.PromptPart) bool {
	return slices.ContainsFunc(parts, func(part lentilmux.PromptPart) bool {
		row := p.Find(part)
		return row != nil && (row.Held || p.unexplained(row) > 0) ||
			slices.ContainsFunc(p.Broken, func(broken BrokenAttempt) bool { return slices.Contains(broken.Parts, part) })
	})
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
			Part: row.Part, Position: row.Position, Clears: row.Clears, Round: row.Round, Crashes: slices.Clone(row.Crashes), Held: row.Held, Age: now.Sub(row.LastCrashAt), Own: row.Own,
		})
	}
	return suspicions
}
