package platformlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"lentilmux.example/lentilmux"
)

// CopyStore keeps what this VM has read of compacted streams, so that it can
// answer other VMs. All methods may be called at once.
type CopyStore struct {
	clock  func() time.Time
	oldest func() time.Duration

	mu      sync.Mutex
	streams map[lentilmux.Stream]*streamCopy
	changed chan struct{} // closed and replaced at each change
}

// streamCopy is what is known of one stream.
type streamCopy struct {
	newest  map[string]lentilmux.KeyedEntry // by key, those that were dropped too
	since   uint64                          // all changes from this offset on are known
	next    uint64                          // the offset behind the last entry
	asOf    time.Time
	failing bool
}

// NewCopyStore returns empty copies. They answer nobody with a configuration that
// is older than what oldest says.
func NewCopyStore(clock func() time.Time, oldest func() time.Duration) *CopyStore {
	return &CopyStore{clock: clock, oldest: oldest, streams: make(map[lentilmux.Stream]*streamCopy), changed: make(chan struct{})}
}

// NextOffset returns the offset behind the last entry of a stream that is known.
func (c *CopyStore) NextOffset(stream lentilmux.Stream) (next uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.streams[stream]; known != nil {
		next = known.next
	}
	return next
}

// Replace replaces a stream's copy by a whole listing that was asked for at
// asOf, with all changes from since on still to come.
func (c *CopyStore) Replace(stream lentilmux.Stream, entries []lentilmux.KeyedEntry, since uint64, asOf time.Time) {
	known := &streamCopy{newest: make(map[string]lentilmux.KeyedEntry, len(entries)), since: since, next: since, asOf: asOf}
	for _, entry := range entries {
		known.newest[entry.Key] = entry
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[stream] = known
	c.tell()
}

// AddEntries adds what a read that was sent at asOf told.
func (c *CopyStore) AddEntries(stream lentilmux.Stream, entries []lentilmux.KeyedEntry, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.streams[stream]
	if known == nil {
		return
	}
	for _, entry := range entries {
		known.newest[entry.Key] = entry
		known.next = max(known.next, entry.Offset+1)
	}
	if asOf.After(known.asOf) {
		known.asOf = asOf
	}
	if known.failing || len(entries) > 0 {
		known.failing = false
		c.tell()
	}
}

// MarkFailed notes that a stream could not be read.
func (c *CopyStore) MarkFailed(stream lentilmux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.streams[stream]; known != nil && !known.failing {
		known.failing = true
		c.tell()
	}
}

// tell wakes those that wait. It is called with the lock held.
func (c *CopyStore) tell() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read answers another VM, when there are entries or after the wait.
func (c *CopyStore) Read(ctx context.Context, read lentilmux.CopyRead) (page lentilmux.KeyedPage, err error) {
	asked := c.clock()
	timer := time.NewTimer(read.Wait)
	defer timer.Stop()
	for over := read.AllKeys; ; {
		page, changed, err := c.page(read, asked)
		if err != nil || over || len(page.Entries) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// page returns what is known now, and what is closed at the next change.
func (c *CopyStore) page(read lentilmux.CopyRead, asked time.Time) (page lentilmux.KeyedPage, changed <-chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.streams[read.Stream]
	if known == nil || c.behind() || known.next < read.From {
		return page, nil, lentilmux.ErrBehind
	}
	if !read.AllKeys && read.From < known.since {
		return page, nil, lentilmux.ErrTruncated
	}
	page = lentilmux.KeyedPage{End: known.next, Lag: asked.Sub(known.asOf)}
	for _, entry := range known.newest {
		if read.AllKeys && len(entry.Value) > 0 || !read.AllKeys && entry.Offset >= read.From {
			page.Entries = append(page.Entries, entry)
		}
	}
	slices.SortFunc(page.Entries, func(a, b lentilmux.KeyedEntry) int {
		if a.Offset < b.Offset {
			return -1
		}
		return 1
	})
	return page, c.changed, nil
}

// behind reports whether this VM has lost touch with the log.
func (c *CopyStore) behind() bool {
	for _, known := range c.streams {
		if known.failing {
			return true
		}
	}
	rules := c.streams[lentilmux.StreamRules]
	return rules != nil && c.clock().Sub(rules.asOf) > c.oldest()
}
