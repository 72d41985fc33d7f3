package platformlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// CopyCache keeps this VM's copies of compacted streams, so that peers can read
// them from this VM instead of the store. It is safe for concurrent use.
type CopyCache struct {
	clock  func() time.Time
	maxAge func() time.Duration

	mu      sync.Mutex
	streams map[lentilmux.Stream]*streamCopy
	changed chan struct{} // closed and replaced on each change
}

// streamCopy is the copy of one stream.
type streamCopy struct {
	entries  map[string]lentilmux.CompactedEntry // newest entry by key, including deletions
	timeline lentilmux.Timeline                  // of all entries and offsets
	since    uint64                              // the copy has all changes from this offset on
	next     uint64                              // offset after the last entry
	asOf     time.Time                           // when the copy was known to be up to date
	failing  bool                                // whether the last read of the stream failed
}

// NewCopyCache returns a cache without copies. It rejects reads while its copy
// of the configuration is older than the age that maxAge returns.
func NewCopyCache(clock func() time.Time, maxAge func() time.Duration) *CopyCache {
	return &CopyCache{clock: clock, maxAge: maxAge, streams: make(map[lentilmux.Stream]*streamCopy), changed: make(chan struct{})}
}

// Position returns the position after the last entry of a stream's copy, or the
// start of the log without a copy.
func (c *CopyCache) Position(stream lentilmux.Stream) (next lentilmux.LogPosition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached := c.streams[stream]; cached != nil {
		next = lentilmux.LogPosition{Timeline: cached.timeline, Offset: cached.next}
	}
	return next
}

// Replace replaces a stream's copy by a complete listing, which was requested
// at asOf. Changes from the position since on are to be added by
// [CopyCache.AddEntries]. A listing of an earlier timeline than the copy's is
// ignored.
func (c *CopyCache) Replace(stream lentilmux.Stream, entries []lentilmux.CompactedEntry, since lentilmux.LogPosition, asOf time.Time) {
	cached := &streamCopy{
		entries: make(map[string]lentilmux.CompactedEntry, len(entries)), timeline: since.Timeline, since: since.Offset, next: since.Offset, asOf: asOf,
	}
	for _, entry := range entries {
		cached.entries[entry.Key] = entry
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.streams[stream]; known != nil && known.timeline > cached.timeline {
		return
	}
	c.streams[stream] = cached
	c.notify()
}

// AddEntries adds the entries of a read that was sent at asOf. It clears a
// failure of the stream. Entries of another timeline than the copy's are ignored: the
// copy is to be replaced by a listing of that timeline.
func (c *CopyCache) AddEntries(stream lentilmux.Stream, timeline lentilmux.Timeline, entries []lentilmux.CompactedEntry, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.streams[stream]
	if cached == nil || cached.timeline != timeline {
		return
	}
	for _, entry := range entries {
		cached.entries[entry.Key] = entry
		cached.next = max(cached.next, entry.Offset+1)
	}
	if asOf.After(cached.asOf) {
		cached.asOf = asOf
	}
	if cached.failing || len(entries) > 0 {
		cached.failing = false
		c.notify()
	}
}

// MarkFailed records that a stream could not be read. Until the next successful
// read, all reads of peers are rejected.
func (c *CopyCache) MarkFailed(stream lentilmux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached := c.streams[stream]; cached != nil && !cached.failing {
		cached.failing = true
		c.notify()
	}
}

// notify wakes all waiting reads. The caller holds the lock.
func (c *CopyCache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read answers a read of a peer. A read of all keys is answered immediately,
// others as soon as there are entries, or without entries after the wait. A copy
// that does not reach the offset yet may do so in the meantime: the reader may
// have read the store itself before. Read returns [lentilmux.ErrCopyBehind] if the
// copy is out of date or does not reach the offset after the wait, and
// [lentilmux.ErrTruncated] if it lacks changes from the given offset on. A copy of an
// earlier timeline than the offset's is behind, one of a later timeline lacks changes.
func (c *CopyCache) Read(ctx context.Context, read lentilmux.CopyRead) (page lentilmux.CompactedPage, err error) {
	receivedAt := c.clock()
	timer := time.NewTimer(read.Wait)
	defer timer.Stop()
	for final := read.AllKeys; ; {
		page, changed, err := c.page(read, receivedAt)
		catchingUp := errors.Is(err, lentilmux.ErrCopyBehind) && changed != nil
		if final || err == nil && len(page.Entries) > 0 || err != nil && !catchingUp {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			final = true
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// page returns the present answer to a read, and a channel that is closed on
// the next change. There is no channel if the copy is out of date. A copy of a
// listing of several pages has some entries that are newer than its end; a reader
// that follows gets them when all others up to them are known, too.
func (c *CopyCache) page(read lentilmux.CopyRead, receivedAt time.Time) (page lentilmux.CompactedPage, changed <-chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.streams[read.Stream]
	if cached == nil || c.isStale() {
		return page, nil, lentilmux.ErrCopyBehind
	}
	from := lentilmux.LogPosition{Timeline: read.Timeline, Offset: read.From}
	if cached.timeline < read.Timeline || cached.timeline == read.Timeline && cached.next < read.From {
		return page, c.changed, lentilmux.ErrCopyBehind
	}
	if !read.AllKeys && from.Compare(lentilmux.LogPosition{Timeline: cached.timeline, Offset: cached.since}) < 0 {
		return page, nil, lentilmux.ErrTruncated
	}
	page = lentilmux.CompactedPage{Timeline: cached.timeline, End: cached.next, Lag: receivedAt.Sub(cached.asOf)}
	for _, entry := range cached.entries {
		if read.AllKeys && len(entry.Value) > 0 || !read.AllKeys && entry.Offset >= read.From && entry.Offset < cached.next {
			page.Entries = append(page.Entries, entry)
		}
	}
	slices.SortFunc(page.Entries, func(a, b lentilmux.CompactedEntry) int {
		if a.Offset < b.Offset {
			return -1
		}
		return 1
	})
	return page, c.changed, nil
}

// isStale reports whether the copies may be out of date because this VM can no
// longer read the store: the last read of a stream failed, or the copy of the
// configuration is too old.
func (c *CopyCache) isStale() bool {
	for _, cached := range c.streams {
		if cached.failing {
			return true
		}
	}
	rules := c.streams[lentilmux.StreamRules]
	return rules != nil && c.clock().Sub(rules.asOf) > c.maxAge()
}
