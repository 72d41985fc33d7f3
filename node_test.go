package lentilmux_test

import (
	"context"
	"fmt"
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

// TestFlushWaitsForEarlierMessages guards against a stop that loses what was reported
// just before.
func TestFlushWaitsForEarlierMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		handled := 0
		node := lentilmux.NewNode(effectModel{}, lentilmux.WithEffector(effectorFunc(func(lentilmux.Effect) { handled++ })))
		for range 100 {
			if err := node.Send(ctx, 1); err != nil {
				t.Fatal(err)
			}
		}
		go node.Run(ctx)
		if err := node.Flush(ctx); err != nil || handled != 100 {
			t.Errorf("after a flush (%v) the effects of %d messages were passed on, expected 100", err, handled)
		}
		cancel()
		synctest.Wait()
		if err := node.Flush(context.Background()); !errors.Is(err, lentilmux.ErrStopped) {
			t.Errorf("Flush on a stopped node returned %v, expected ErrStopped", err)
		}
	})
}

// effectModel has one effect for each message.
type effectModel struct{}

func (effectModel) Tick(now time.Time, batch []lentilmux.Envelope) (effects []lentilmux.Effect, nextTick time.Time) {
	for _, envelope := range batch {
		effects = append(effects, lentilmux.DecisionEffect{Decision: lentilmux.Decision{Subject: fmt.Sprint(envelope.Msg)}})
	}
	return effects, now.Add(time.Minute)
}

// effectorFunc implements [lentilmux.Effector].
type effectorFunc func(lentilmux.Effect)

func (f effectorFunc) Do(effect lentilmux.Effect) { f(effect) }
