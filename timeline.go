package lentilmux

// Timeline numbers the histories of a log. It rises each time the log is restored
// from an earlier copy: what was written since that copy is gone, and its offsets are
// given out again. Offsets of different timelines cannot be compared. A log that is
// never restored stays at timeline 0.
type Timeline uint64
