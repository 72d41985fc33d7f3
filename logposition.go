package lentilmux

import (
	"cmp"
	"fmt"
)

// LogPosition is a position in a log that may be restored from an earlier copy.
type LogPosition struct {
	Timeline Timeline
	Offset   uint64 // only comparable within the timeline
}

// Compare returns a negative number if p is before other, a positive one if it is
// after other, and 0 if they are equal. All positions of a timeline are before those
// of the next one.
func (p LogPosition) Compare(other LogPosition) int {
	return cmp.Or(cmp.Compare(p.Timeline, other.Timeline), cmp.Compare(p.Offset, other.Offset))
}

// String formats the position for logs.
func (p LogPosition) String() string {
	return fmt.Sprintf("offset %d of timeline %d", p.Offset, p.Timeline)
}
