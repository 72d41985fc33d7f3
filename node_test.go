package lentilmux_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// echoModel answers every message with itself and wants a tick a minute.
type echoModel struct {
	ticks int
}

func (e *echoModel) Tick(now time.Time, batch []lentilmux.Envelope) (effects []lentilmux.Effect, due time.Time) {
	e.ticks++
	for _, envelope := range batch {
		effects = append(effects, lentilmux.AnswerEffect{CorrelationID: envelope.CorrelationID, Answer: envelope.Msg})
	}
	return effects, now.Add(time.Minute)
}

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
		synctest.Wait() // the tick at the start
		for i := range 10 {
			answer, err := node.Ask(ctx, i)
			if err != nil || answer != i {
				t.Errorf("asked %d, got %v, %v", i, answer, err)
			}
		}
		time.Sleep(10*time.Minute + time.Second)
		cancel()
		<-done
		// One tick at the start, one for each question, one a minute.
		if model.ticks != 21 {
			t.Errorf("%d ticks", model.ticks)
		}
		if _, err := node.Ask(context.Background(), 1); !errors.Is(err, lentilmux.ErrStopped) {
			t.Errorf("a stopped node gave %v", err)
		}
	})
}
