package entryvm

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"lentilmux.example/lentilmux"
)

// The limits of a server. The value is a label of a metric.
const (
	limitConnections = "connections"
	limitHeads       = "heads"
	limitBody        = "body"
)

// limitLogInterval is the least time between two log lines about a limit of a server.
const limitLogInterval = time.Second

// limitLog counts the connections and requests of a server that a limit has ended, and
// logs at most one line for each limit and interval. It is safe for concurrent use.
type limitLog struct {
	server string
	count  func(server, limit string)
	log    func(d lentilmux.Decision)

	mu     sync.Mutex
	nextAt map[string]time.Time // by limit
	ended  map[string]int       // since the last line, by limit
}

// newLimitLog returns the log of a server.
func newLimitLog(server string, count func(server, limit string), log func(lentilmux.Decision)) *limitLog {
	return &limitLog{server: server, count: count, log: log, nextAt: make(map[string]time.Time), ended: make(map[string]int)}
}

// record records that a connection or a request was ended. A log that blocks does not
// delay later calls within the interval.
func (l *limitLog) record(limit string) {
	l.count(l.server, limit)
	if ended := l.take(limit, time.Now()); ended > 0 {
		l.log(lentilmux.Decision{What: "client_limited", Subject: l.server, Chosen: limit, Reason: fmt.Sprintf("ended=%d since the last line", ended)})
	}
}

// take counts one connection or request. It returns the number for a line that is due, or
// 0 if none is.
func (l *limitLog) take(limit string, now time.Time) (ended int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[limit]++
	if now.Before(l.nextAt[limit]) {
		return 0
	}
	ended = l.ended[limit]
	l.nextAt[limit], l.ended[limit] = now.Add(limitLogInterval), 0
	return ended
}

// countLimited counts a connection or request that a limit has ended.
func (m *metrics) countLimited(server, limit string) {
	m.limited.Add(context.Background(), 1, metric.WithAttributes(attribute.String("server", server), attribute.String("limit", limit)))
}
