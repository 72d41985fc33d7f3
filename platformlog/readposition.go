package platformlog

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentilmux.example/lentilmux"
)

// maxKnownEntries is the number of entries that a reader can compare with those of a
// restored log. Older ones are taken for unchanged.
const maxKnownEntries = 1 << 16

// readPosition is the position of a reader in one stream. It knows the checksums of
// the last entries that were read, by which it finds the first entry that differs
// after the log was restored from an earlier copy.
type readPosition struct {
	timeline  lentilmux.Timeline
	first     uint64   // offset of the first checksum
	sums      []uint64 // of the entries up to the position
	comparing bool     // whether the entries of a new timeline are being compared
	matched   uint64   // while comparing: offset up to which entries are the same
}

// end returns the offset that follows the last entry that was read.
func (p *readPosition) end() uint64 { return p.first + uint64(len(p.sums)) }

// next returns the offset to read next.
func (p *readPosition) next() uint64 {
	if p.comparing {
		return p.matched
	}
	return p.end()
}

// restored begins to compare the entries of a new timeline with those that were read.
func (p *readPosition) restored(timeline lentilmux.Timeline) {
	p.timeline = timeline
	p.comparing = true
	p.matched = p.first
}

// compare compares the entries of a page with those that were read. It returns false
// if the next page has to be compared too. Otherwise the position is at the first
// entry that differs, and page has only the entries from there on.
func (p *readPosition) compare(page *lentilmux.LogPage) (done bool) {
	p.matched = min(max(p.matched, page.Start), p.end(), page.End)
	for i, entry := range page.Entries {
		if entry.Offset < p.first {
			continue // a faulty log: it was asked for later ones
		}
		if entry.Offset >= p.end() || p.sums[entry.Offset-p.first] != xxhash.Sum64(entry.Data) {
			page.Entries = page.Entries[i:]
			p.truncate(p.matched)
			return true
		}
		p.matched = entry.Offset + 1
	}
	if p.matched < p.end() && p.matched < page.End {
		return false
	}
	page.Entries = nil
	p.truncate(p.matched)
	return true
}

// truncate moves the position back to an offset and ends the comparison.
func (p *readPosition) truncate(offset uint64) {
	p.comparing = false
	p.first = min(p.first, offset)
	p.sums = p.sums[:offset-p.first]
}

// advance moves the position to the end of the page's entries, or to the end of the
// log if that is before it.
func (p *readPosition) advance(page lentilmux.LogPage) {
	for _, entry := range page.Entries {
		if entry.Offset != p.end() {
			p.first, p.sums = entry.Offset, nil
		}
		p.sums = append(p.sums, xxhash.Sum64(entry.Data))
	}
	if page.End < p.end() {
		p.truncate(page.End)
	}
	if excess := len(p.sums) - maxKnownEntries; excess >= maxKnownEntries {
		p.first += uint64(excess)
		p.sums = slices.Clone(p.sums[excess:])
	}
}
