package standin

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// Errors of the log.
const (
	ErrOutage    = errors.ConstError("log is out of order")
	ErrLostReply = errors.ConstError("reply was lost after the append")
)

// Log is a stand-in of the platform's log.
type Log struct {
	mu        sync.Mutex
	streams   map[lentilmux.Stream]*stream
	outage    bool
	loseEvery int // every n-th append's reply is lost; 0 for none
	delay     time.Duration
	appends   int
	bytes     int
}

// stream is one stream. changed is closed and replaced when it grows.
type stream struct {
	start   uint64
	entries []lentilmux.LogEntry
	changed chan struct{}
}

// NewLog returns an empty log that takes delay for each append.
func NewLog(delay time.Duration) *Log {
	return &Log{streams: make(map[lentilmux.Stream]*stream), delay: delay}
}

func (l *Log) stream(name lentilmux.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// SetOutage begins or ends an outage.
func (l *Log) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
	for _, s := range l.streams {
		s.wake()
	}
}

// DropEveryNthReply makes every n-th append take effect and then fail; 0 ends it.
func (l *Log) DropEveryNthReply(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseEvery = n
}

// SetDelay changes the time that an append takes.
func (l *Log) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// Trim drops all but the last keep entries of a stream, as retention does.
func (l *Log) Trim(name lentilmux.Stream, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	drop := max(0, len(s.entries)-keep)
	s.start += uint64(drop)
	s.entries = append([]lentilmux.LogEntry(nil), s.entries[drop:]...)
}

// Truncate drops the last n entries of a stream: it comes back shorter.
func (l *Log) Truncate(name lentilmux.Stream, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.entries = s.entries[:max(0, len(s.entries)-n)]
	s.wake()
}

// Appends returns how many appends were made and how many bytes they had.
func (l *Log) Appends() (count, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

// Append implements [lentilmux.Log].
func (l *Log) Append(ctx context.Context, name lentilmux.Stream, entries [][]byte) (err error) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 {
		if err := pause(ctx, delay); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return ErrOutage
	}
	s := l.stream(name)
	now := time.Now()
	for _, data := range entries {
		s.entries = append(s.entries, lentilmux.LogEntry{Offset: s.start + uint64(len(s.entries)), At: now, Data: data})
		l.bytes += len(data)
	}
	s.wake()
	l.appends++
	if l.loseEvery > 0 && l.appends%l.loseEvery == 0 {
		return ErrLostReply
	}
	return nil
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// pause sleeps for the duration or fails when ctx ends.
func pause(ctx context.Context, duration time.Duration) (err error) {
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

// pageMost is how many entries a read returns.
const pageMost = 1000

// Read implements [lentilmux.Log].
func (l *Log) Read(ctx context.Context, name lentilmux.Stream, from uint64, wait time.Duration) (page lentilmux.LogPage, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		page, changed, err := l.page(name, from)
		if err != nil || len(page.Entries) > 0 || expired || page.End < from {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return lentilmux.LogPage{}, ctx.Err()
		}
	}
}

// page returns what the stream has from an offset on, and the channel that
// closes when it grows.
func (l *Log) page(name lentilmux.Stream, from uint64) (page lentilmux.LogPage, changed <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return lentilmux.LogPage{}, nil, ErrOutage
	}
	s := l.stream(name)
	page = lentilmux.LogPage{Start: s.start, End: s.start + uint64(len(s.entries))}
	from = max(from, s.start)
	if from < page.End {
		entries := s.entries[from-s.start:]
		page.Entries = append(page.Entries, entries[:min(len(entries), pageMost)]...)
	}
	return page, s.changed, nil
}
