package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// CrashSuspectRow counts the crashes of upstreams while they ran one request's work.
type CrashSuspectRow struct {
	Fingerprint lentilmux.Fingerprint
	Crashes     int
	LastCrashAt time.Time
}

// CrashSuspects is the table of work that crashes upstreams.
type CrashSuspects struct {
	Rows []CrashSuspectRow
}

// Find returns the row of some work, or nil.
func (p *CrashSuspects) Find(body lentilmux.Fingerprint) *CrashSuspectRow {
	for i := range p.Rows {
		if p.Rows[i].Fingerprint == body {
			return &p.Rows[i]
		}
	}
	return nil
}

// RecordCrash notes a crash and returns how many there were.
func (p *CrashSuspects) RecordCrash(body lentilmux.Fingerprint, now time.Time, memory time.Duration) int {
	kept := p.Rows[:0]
	for _, row := range p.Rows {
		if now.Sub(row.LastCrashAt) <= memory {
			kept = append(kept, row)
		}
	}
	p.Rows = kept
	row := p.Find(body)
	if row == nil {
		p.Rows = append(p.Rows, CrashSuspectRow{Fingerprint: body})
		row = &p.Rows[len(p.Rows)-1]
	}
	row.Crashes++
	row.LastCrashAt = now
	return row.Crashes
}
