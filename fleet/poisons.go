package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// PoisonRow counts the crashes of upstreams while they ran one request's work.
type PoisonRow struct {
	Body    lentilmux.Fingerprint
	Crashes int
	Last    time.Time
}

// Poisons is the table of work that crashes upstreams.
type Poisons struct {
	Rows []PoisonRow
}

// Find returns the row of some work, or nil.
func (p *Poisons) Find(body lentilmux.Fingerprint) *PoisonRow {
	for i := range p.Rows {
		if p.Rows[i].Body == body {
			return &p.Rows[i]
		}
	}
	return nil
}

// Count notes a crash and returns how many there were.
func (p *Poisons) Count(body lentilmux.Fingerprint, now time.Time, memory time.Duration) int {
	kept := p.Rows[:0]
	for _, row := range p.Rows {
		if now.Sub(row.Last) <= memory {
			kept = append(kept, row)
		}
	}
	p.Rows = kept
	row := p.Find(body)
	if row == nil {
		p.Rows = append(p.Rows, PoisonRow{Body: body})
		row = &p.Rows[len(p.Rows)-1]
	}
	row.Crashes++
	row.Last = now
	return row.Crashes
}
