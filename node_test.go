package lentilmux_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// echoModel answers every message with the message itself and asks for a tick
// every minute.
type echoModel struct {
	ticks int
}

func (e *echoModel) Tick(now time.Time, batch []lentilmux.Envelope) (effects []lentilmux.Effect, nextTick time.Time) {
	e.ticks++
	for _, envelope := range batch {
		effects = append(effects, lentilmux.AnswerEffect{CorrelationID: envelope.CorrelationID, Answer: envelope.Msg})
	}
	return effects, now.Add(time.Minute)
}

// TestNodeAnswersEachMessageAndSleepsBetweenTicks guards against a control loop
// that polls: ticks may come only from messages and from the model's own timer.
// It also checks that Ask returns each message's own answer, and ErrStopped once
// the loop has ended.
func TestNodeAnswersEachMessageAndSleepsBetweenTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		model := &echoModel{}
		node := lentilmux.NewNode(model)
		done := make(chan struct{})
		go func() {
			defer close(done)
			node.Run(ctx)
		}()
		synctest.Wait() // for the tick at the start
		for i := range 10 {
			answer, err := node.Ask(ctx, i)
			if err != nil || answer != i {
				t.Errorf("Ask(%d) returned %v, %v; want the message itself", i, answer, err)
			}
		}
		time.Sleep(10*time.Minute + time.Second)
		cancel()
		<-done
		// One tick at the start, one for each of 10 messages, one a minute.
		if model.ticks != 21 {
			t.Errorf("the model ran %d ticks, want 21", model.ticks)
		}
		if _, err := node.Ask(context.Background(), 1); !errors.Is(err, lentilmux.ErrStopped) {
			t.Errorf("Ask on a stopped node returned %v, want ErrStopped", err)
		}
	})
}
