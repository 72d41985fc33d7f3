package fleet

import (
	"slices"
	"time"

	"lentilmux.example/lentilmux"
)

// CrashSuspectRow counts the upstream crashes in the middle of answers to requests
// with the same fingerprint.
type CrashSuspectRow struct {
	Fingerprint lentilmux.Fingerprint
	Crashes     int
	LastCrashAt time.Time
}

// CrashSuspects is the table of requests that may crash upstreams in the middle of
// their answer, by fingerprint. Those that crash them before are in PartSuspects.
type CrashSuspects struct {
	Rows []CrashSuspectRow
}

// Find returns the row of a fingerprint, or nil if there was no crash within the
// retention.
func (c *CrashSuspects) Find(fingerprint lentilmux.Fingerprint, now time.Time, retention time.Duration) *CrashSuspectRow {
	for i := range c.Rows {
		if c.Rows[i].Fingerprint == fingerprint && now.Sub(c.Rows[i].LastCrashAt) <= retention {
			return &c.Rows[i]
		}
	}
	return nil
}

// clear forgets the crashes of a fingerprint, as a request with it was answered.
func (c *CrashSuspects) clear(fingerprint lentilmux.Fingerprint) {
	c.Rows = slices.DeleteFunc(c.Rows, func(row CrashSuspectRow) bool { return row.Fingerprint == fingerprint })
}

// withdrawSince takes back the last crash of each fingerprint for which it was
// recorded at or after a time.
func (c *CrashSuspects) withdrawSince(first time.Time) {
	for i := range c.Rows {
		if !c.Rows[i].LastCrashAt.Before(first) {
			c.Rows[i].Crashes--
		}
	}
}

// RecordCrash counts a crash and returns the number of crashes so far. It
// removes rows whose last crash is older than retention.
func (c *CrashSuspects) RecordCrash(fingerprint lentilmux.Fingerprint, now time.Time, retention time.Duration) int {
	recent := c.Rows[:0]
	for _, row := range c.Rows {
		if now.Sub(row.LastCrashAt) <= retention {
			recent = append(recent, row)
		}
	}
	c.Rows = recent
	row := c.Find(fingerprint, now, retention)
	if row == nil {
		c.Rows = append(c.Rows, CrashSuspectRow{Fingerprint: fingerprint})
		row = &c.Rows[len(c.Rows)-1]
	}
	row.Crashes++
	row.LastCrashAt = now
	return row.Crashes
}
