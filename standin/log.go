package standin

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// Errors returned by the simulated log.
const (
	// ErrOutage is returned by appends and reads during an outage.
	ErrOutage = errors.ConstError("log is out of order")
	// ErrLostReply is returned by an append that took effect but whose reply is
	// dropped; see [Log.DropEveryNthReply].
	ErrLostReply = errors.ConstError("reply was lost after the append")
)

// Log simulates the platform's append-only log. It keeps its streams in memory.
type Log struct {
	mu             sync.Mutex
	timeline       lentilmux.Timeline
	streams        map[lentilmux.Stream]*logStream
	outage         bool
	dropReplyEvery int // fail every n-th append after it took effect; 0 for none
	appendDelay    time.Duration
	appendCount    int
	appendedBytes  int
}

// logStream is one stream of the log. The field start is the offset of the oldest
// entry that is kept. The channel changed is closed and replaced to wake the
// readers that wait for entries.
type logStream struct {
	start   uint64
	entries []lentilmux.LogEntry
	changed chan struct{}
}

// NewLog returns an empty log on which each append takes the given delay.
func NewLog(delay time.Duration) *Log {
	return &Log{streams: make(map[lentilmux.Stream]*logStream), appendDelay: delay}
}

// ensureStream returns a stream and creates it on first use. The caller holds mu.
func (l *Log) ensureStream(name lentilmux.Stream) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// SetOutage starts or ends an outage. During an outage appends and reads fail
// with [ErrOutage].
func (l *Log) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
	for _, s := range l.streams {
		s.wakeReaders()
	}
}

// DropEveryNthReply makes every n-th append take effect but return [ErrLostReply],
// as if the reply had been lost on the network. With n = 0 no reply is lost.
func (l *Log) DropEveryNthReply(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropReplyEvery = n
}

// SetDelay sets how long each append takes.
func (l *Log) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendDelay = delay
}

// Trim drops the oldest entries of a stream until keep entries are left, as the
// log's retention does.
func (l *Log) Trim(name lentilmux.Stream, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.ensureStream(name)
	drop := max(0, len(s.entries)-keep)
	s.start += uint64(drop)
	s.entries = append([]lentilmux.LogEntry(nil), s.entries[drop:]...)
}

// Truncate drops the newest n entries of a stream. It simulates a log that lost
// entries at its end in a failure.
func (l *Log) Truncate(name lentilmux.Stream, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.ensureStream(name)
	s.entries = s.entries[:max(0, len(s.entries)-n)]
	s.wakeReaders()
}

// RestoreCopy replaces all streams by a copy of the given age, as after the loss
// of the log's storage: newer entries are gone, their offsets are given out again,
// and the timeline rises by one.
func (l *Log) RestoreCopy(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timeline++
	copiedAt := time.Now().Add(-age)
	for _, s := range l.streams {
		kept := len(s.entries)
		for kept > 0 && s.entries[kept-1].At.After(copiedAt) {
			kept--
		}
		s.entries = s.entries[:kept:kept]
		s.wakeReaders()
	}
}

// Timeline returns the number of restores from a copy.
func (l *Log) Timeline() lentilmux.Timeline {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.timeline
}

// Appends returns the number of appends that took effect and the total size of
// their entries in bytes.
func (l *Log) Appends() (count, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount, l.appendedBytes
}

// Append implements [lentilmux.Log]. It fails with [ErrOutage] during an outage, and
// can fail with [ErrLostReply] although it took effect.
func (l *Log) Append(ctx context.Context, name lentilmux.Stream, entries [][]byte) (err error) {
	l.mu.Lock()
	delay := l.appendDelay
	l.mu.Unlock()
	if delay > 0 {
		if err := sleepOrDone(ctx, delay); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return ErrOutage
	}
	s := l.ensureStream(name)
	now := time.Now()
	for _, data := range entries {
		s.entries = append(s.entries, lentilmux.LogEntry{Offset: s.start + uint64(len(s.entries)), At: now, Data: data})
		l.appendedBytes += len(data)
	}
	s.wakeReaders()
	l.appendCount++
	if l.dropReplyEvery > 0 && l.appendCount%l.dropReplyEvery == 0 {
		return ErrLostReply
	}
	return nil
}

// wakeReaders wakes the readers that wait on changed.
func (s *logStream) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// sleepOrDone sleeps for the duration, or returns the error of ctx if it ends
// before.
func sleepOrDone(ctx context.Context, duration time.Duration) (err error) {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// maxPageEntries is the maximum number of entries that one read returns.
const maxPageEntries = 1000

// Read implements [lentilmux.Log]. It returns at most 1,000 entries. If there are
// none it waits for the first, but no longer than wait, and not at all if from is
// after the end of the stream.
func (l *Log) Read(ctx context.Context, name lentilmux.Stream, from uint64, wait time.Duration) (page lentilmux.LogPage, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := false; ; {
		page, changed, err := l.readPage(name, from)
		if err != nil || len(page.Entries) > 0 || timedOut || page.End < from {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return lentilmux.LogPage{}, ctx.Err()
		}
	}
}

// readPage returns the entries from an offset on without waiting. The channel
// changed is closed when entries are appended or truncated, or an outage starts
// or ends.
func (l *Log) readPage(name lentilmux.Stream, from uint64) (page lentilmux.LogPage, changed <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return lentilmux.LogPage{}, nil, ErrOutage
	}
	s := l.ensureStream(name)
	page = lentilmux.LogPage{Timeline: l.timeline, Start: s.start, End: s.start + uint64(len(s.entries))}
	from = max(from, s.start)
	if from < page.End {
		entries := s.entries[from-s.start:]
		page.Entries = append(page.Entries, entries[:min(len(entries), maxPageEntries)]...)
	}
	return page, s.changed, nil
}
