package entryvm

import (
	"bufio"
	"context"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
)

// decisionQueueSize is the maximum number of queued decisions; further ones are
// dropped.
const decisionQueueSize = 4096

// decisionQueueBytes is the maximum size of the text of queued decisions, in bytes;
// further ones are dropped. A decision may name what a caller sent.
const decisionQueueBytes = 4 << 20

// decisionLog writes a log line for each decision on its own goroutine, so that
// neither the control goroutine nor a request blocks on the output. If the
// writer falls behind, decisions are dropped and their number is logged.
type decisionLog struct {
	logger  *logrus.Logger
	name    string
	queue   chan lentilmux.Decision
	queued  atomic.Int64 // bytes of text in queue
	dropped atomic.Int64
}

// newDecisionLog returns a decision log that writes to the logger's output.
// Lines carry name as their vm. Call run to start it.
func newDecisionLog(logger *logrus.Logger, name string) *decisionLog {
	return &decisionLog{logger: logger, name: name, queue: make(chan lentilmux.Decision, decisionQueueSize)}
}

// enqueue queues a decision without blocking, or drops it if the queue is full
// or has too much text.
func (l *decisionLog) enqueue(d lentilmux.Decision) {
	size := textSize(d)
	if l.queued.Add(size) <= decisionQueueBytes {
		select {
		case l.queue <- d:
			return
		default:
		}
	}
	l.queued.Add(-size)
	l.dropped.Add(1)
}

// textSize returns the size of a decision's text, in bytes.
func textSize(d lentilmux.Decision) (size int64) {
	size = int64(len(d.What) + len(d.Subject) + len(d.Chosen) + len(d.Reason))
	for _, candidate := range d.Considered {
		size += int64(len(candidate))
	}
	return size
}

// run writes queued decisions until ctx is canceled, then writes the rest of the
// queue and returns. Decisions that are queued at the same time share one write
// to the output. The logger's output is buffered while run is active.
func (l *decisionLog) run(ctx context.Context) {
	out := l.logger.Out
	buffered := bufio.NewWriterSize(out, 64<<10)
	l.logger.SetOutput(buffered)
	defer l.logger.SetOutput(out)
	for {
		select {
		case d := <-l.queue:
			l.writeLine(d)
			l.writeQueued()
		case <-ctx.Done():
			l.writeQueued()
			_ = buffered.Flush() // the log is the only place to report an error
			return
		}
		if count := l.dropped.Swap(0); count > 0 {
			l.logger.WithFields(logrus.Fields{"vm": l.name, "what": "lines_dropped", "count": count}).Warn("decision log queue was full")
		}
		_ = buffered.Flush() // the log is the only place to report an error
	}
}

// writeQueued writes the decisions that are queued, at most one queue's worth, so
// that it returns under a constant load.
func (l *decisionLog) writeQueued() {
	for range decisionQueueSize {
		select {
		case d := <-l.queue:
			l.writeLine(d)
		default:
			return
		}
	}
}

// writeLine writes the log line of a decision that was taken from the queue.
func (l *decisionLog) writeLine(d lentilmux.Decision) {
	defer l.queued.Add(-textSize(d))
	fields := logrus.Fields{"vm": l.name, "what": d.What, "subject": d.Subject, "chosen": d.Chosen, "reason": d.Reason}
	if len(d.Considered) > 0 {
		fields["considered"] = strings.Join(d.Considered, ",")
	}
	l.logger.WithFields(fields).Info("decision")
}
