package entryvm

import (
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"lentilmux.example/lentilmux"
)

// TestDecisionQueueIsBounded guards against a log output that is slow while callers
// send long request IDs, which then fill the memory.
func TestDecisionQueueIsBounded(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := newDecisionLog(logger, "entry-1")
	id := strings.Repeat("x", 32<<10)
	for range decisionQueueSize {
		log.enqueue(lentilmux.Decision{What: "request_done", Subject: id})
	}
	if size := len(log.queue) * len(id); size > decisionQueueBytes || size < decisionQueueBytes/2 {
		t.Errorf("%d bytes are queued, want at most %d", size, decisionQueueBytes)
	}
	log.writeQueued()
	if queued, dropped := log.queued.Load(), log.dropped.Load(); queued != 0 || dropped == 0 {
		t.Errorf("%d bytes are queued after all was written, %d lines dropped", queued, dropped)
	}
}
