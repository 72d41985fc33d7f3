package engine_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/engine"
)

// silentNetwork makes all that engines send wait while it is silent.
type silentNetwork struct {
	dial engine.DialFunc

	mu    sync.Mutex
	until time.Time
}

// DialContext opens a connection that the silence holds up.
func (n *silentNetwork) DialContext(ctx context.Context, network, address string) (conn net.Conn, err error) {
	conn, err = n.dial(ctx, network, address)
	return &silentConn{Conn: conn, network: n}, err
}

// fallSilent holds up all that arrives for a duration.
func (n *silentNetwork) fallSilent(duration time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.until = time.Now().Add(duration)
}

// silentConn is a connection on a silentNetwork.
type silentConn struct {
	net.Conn
	network *silentNetwork
}

// Read implements [net.Conn].
func (c *silentConn) Read(data []byte) (n int, err error) {
	n, err = c.Conn.Read(data)
	c.network.mu.Lock()
	silence := time.Until(c.network.until)
	c.network.mu.Unlock()
	time.Sleep(silence)
	return n, err
}

// TestSilenceEndsNoStage guards against streams that fail since their connection
// answered a ping late: an engine, or the link to it, is silent for a moment at any
// time before, after or during a ping.
func TestSilenceEndsNoStage(t *testing.T) {
	for quiet := time.Duration(0); quiet <= 1200*time.Millisecond; quiet += 150 * time.Millisecond {
		t.Run(fmt.Sprint(quiet), func(t *testing.T) {
			runWithEngine(t, func(t *testing.T, e *testEngine) {
				network := &silentNetwork{dial: e.network.DialContext}
				e.client = engine.NewClient(engine.WithDial(network.DialContext))
				stage := e.openStage(t, "r1")
				if _, err := stage.Step(t.Context(), lentilmux.StepInput{}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(quiet)
				network.fallSilent(lentilmux.ToleratedSilence)
				time.Sleep(lentilmux.ToleratedSilence + time.Second)
				synctest.Wait()
				if _, err := stage.Step(t.Context(), lentilmux.StepInput{Position: 1}); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
