package entryvm

import (
	"net"
	"testing"
	"time"

	"lentilmux.example/lentilmux"
)

// blockedLogWait bounds the wait for calls that must not wait for the log.
const blockedLogWait = 5 * time.Second

// TestLimitLogBlocked guards against a log writer that blocks and stops the reads of all
// connections of a server.
func TestLimitLogBlocked(t *testing.T) {
	blocked, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	limits := newLimitLog("callers", func(string, string) {}, func(lentilmux.Decision) {
		close(blocked)
		<-release
	})
	table := newConnTable(func(lentilmux.Decision) {}, func(connEnd) {}).withLimits(ConnLimits{Conns: 1}, limits.record)
	add := func() *connRow {
		conn, _ := net.Pipe()
		return table.add(conn)
	}
	add()
	go table.makeRoom()
	<-blocked
	done := make(chan struct{})
	go func() {
		defer close(done)
		add().recordRead([]byte("GET"), nil)
		limits.record(limitConnections)
	}()
	select {
	case <-done:
	case <-time.After(blockedLogWait):
		t.Error("a read waits for the log")
	}
}
