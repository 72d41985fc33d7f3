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
func (c *CrashSuspects) Find(fingerprint lentilmux.Fingerprint) *CrashSuspectRow {
	for i := range c.Rows {
		if c.Rows[i].Fingerprint == fingerprint {
			return &c.Rows[i]
		}
	}
	return nil
}

// RecordCrash notes a crash and returns how many there were.
func (c *CrashSuspects) RecordCrash(fingerprint lentilmux.Fingerprint, now time.Time, retention time.Duration) int {
	kept := c.Rows[:0]
	for _, row := range c.Rows {
		if now.Sub(row.LastCrashAt) <= retention {
			kept = append(kept, row)
		}
	}
	c.Rows = kept
	row := c.Find(fingerprint)
	if row == nil {
		c.Rows = append(c.Rows, CrashSuspectRow{Fingerprint: fingerprint})
		row = &c.Rows[len(c.Rows)-1]
	}
	row.Crashes++
	row.LastCrashAt = now
	return row.Crashes
}
