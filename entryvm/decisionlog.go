package entryvm

import (
	"bufio"
	"context"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
)

// logQueue is how many lines wait for the writer before more are dropped.
const logQueue = 4096

// decisionLog writes the lines of decisions on a goroutine of its own, so that
// neither the control goroutine nor a request waits for the output. When it
// falls behind, lines are dropped and their number is logged.
type decisionLog struct {
	logger  *logrus.Logger
	name    string
	lines   chan lentilmux.Decision
	dropped atomic.Int64
}

// newDecisionLog returns a log to the logger's output. Call run to start it.
func newDecisionLog(logger *logrus.Logger, name string) *decisionLog {
	return &decisionLog{logger: logger, name: name, lines: make(chan lentilmux.Decision, logQueue)}
}

// write queues a line without blocking.
func (l *decisionLog) write(d lentilmux.Decision) {
	select {
	case l.lines <- d:
	default:
		l.dropped.Add(1)
	}
}

// run writes lines until ctx ends and the queue is empty. Lines that wait
// together go out in one piece.
func (l *decisionLog) run(ctx context.Context) {
	out := l.logger.Out
	buffered := bufio.NewWriterSize(out, 64<<10)
	l.logger.SetOutput(buffered)
	defer l.logger.SetOutput(out)
	for {
		select {
		case d := <-l.lines:
			l.line(d)
			l.drain()
		case <-ctx.Done():
			l.drain()
			_ = buffered.Flush() // nobody is left to tell
			return
		}
		if count := l.dropped.Swap(0); count > 0 {
			l.logger.WithFields(logrus.Fields{"vm": l.name, "what": "lines_dropped", "count": count}).Warn("log")
		}
		_ = buffered.Flush() // the output is all that an error could be told to
	}
}

// drain writes what waits.
func (l *decisionLog) drain() {
	for range logQueue {
		select {
		case d := <-l.lines:
			l.line(d)
		default:
			return
		}
	}
}

// line writes one line.
func (l *decisionLog) line(d lentilmux.Decision) {
	fields := logrus.Fields{"vm": l.name, "what": d.What, "subject": d.Subject, "chosen": d.Chosen, "reason": d.Reason}
	if len(d.Considered) > 0 {
		fields["considered"] = strings.Join(d.Considered, ",")
	}
	l.logger.WithFields(fields).Info("decision")
}
