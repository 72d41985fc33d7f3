package lentilmux

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// defaultInboxSize is the number of messages that the inbox of the control
// goroutine holds before senders block.
const defaultInboxSize = 4096

// Sentinel errors of a [Node].
const (
	// ErrStopped reports that [Node.Run] has returned.
	ErrStopped = errors.ConstError("node stopped")
)

// Node is the control loop of one entry VM. It owns a [Model], which only the
// goroutine of [Node.Run] accesses.
type Node struct {
	model             Model
	effector          Effector
	inbox             chan Envelope
	stopped           chan struct{}
	replies           map[CorrelationID]chan<- Answer
	lastCorrelationID CorrelationID
	flushes           []chan struct{} // of the calls of Flush that the next tick ends
	clock             func() time.Time
}

// Option configures a [Node] at its creation.
type Option func(*Node)

// WithEffector sets the [Effector] that executes the effects of each tick.
// Without it, effects other than answers are dropped.
func WithEffector(e Effector) Option {
	return func(n *Node) { n.effector = e }
}

// WithInboxSize sets the number of messages that the inbox holds before senders
// block. The default is 4096.
func WithInboxSize(size int) Option {
	return func(n *Node) { n.inbox = make(chan Envelope, size) }
}

// WithClock sets the clock that gives ticks their time, such as one that keeps
// running while the VM is suspended. Timers still use the runtime's clock.
func WithClock(clock func() time.Time) Option {
	return func(n *Node) { n.clock = clock }
}

// NewNode returns a node that runs model. Call [Node.Run] to start it.
func NewNode(model Model, options ...Option) *Node {
	n := &Node{
		model:    model,
		effector: discardEffector{},
		inbox:    make(chan Envelope, defaultInboxSize),
		stopped:  make(chan struct{}),
		replies:  make(map[CorrelationID]chan<- Answer),
		clock:    time.Now,
	}
	for _, option := range options {
		option(n)
	}
	return n
}

// Run ticks the model until ctx is done. A tick is caused by a message or by the
// time that the model asked for; between ticks the goroutine sleeps.
func (n *Node) Run(ctx context.Context) {
	defer close(n.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []Envelope
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return
		case envelope := <-n.inbox:
			batch = n.drainInbox(n.accept(batch, envelope))
		case <-timer.C:
		}
		now := n.clock()
		effects, nextTick := n.model.Tick(now, batch)
		n.runEffects(effects)
		n.endFlushes()
		timer.Reset(nextTick.Sub(now))
	}
}

// drainInbox appends the messages in the inbox to batch. It takes at most as
// many as the inbox can hold, so that the length of a tick is bounded.
func (n *Node) drainInbox(batch []Envelope) []Envelope {
	for range cap(n.inbox) {
		select {
		case envelope := <-n.inbox:
			batch = n.accept(batch, envelope)
		default:
			return batch
		}
	}
	return batch
}

// accept appends an envelope to the batch of the next tick, or notes whom to tell when
// that tick has ended.
func (n *Node) accept(batch []Envelope, envelope Envelope) []Envelope {
	if envelope.flushed != nil {
		n.flushes = append(n.flushes, envelope.flushed)
		return batch
	}
	return append(batch, n.assignCorrelationID(envelope))
}

// endFlushes tells the calls of Flush that the messages before them are handled.
func (n *Node) endFlushes() {
	for _, flushed := range n.flushes {
		close(flushed)
	}
	n.flushes = n.flushes[:0]
}

// assignCorrelationID gives the envelope a correlation ID if its sender waits
// for an answer.
func (n *Node) assignCorrelationID(envelope Envelope) Envelope {
	if envelope.reply == nil {
		return envelope
	}
	n.lastCorrelationID++
	envelope.CorrelationID = n.lastCorrelationID
	n.replies[n.lastCorrelationID] = envelope.reply
	return envelope
}

// runEffects delivers answers to the calls of Ask that wait for them and passes
// all other effects to the effector.
func (n *Node) runEffects(effects []Effect) {
	for _, effect := range effects {
		answer, ok := effect.(AnswerEffect)
		if !ok {
			n.effector.Do(effect)
			continue
		}
		reply, ok := n.replies[answer.CorrelationID]
		if !ok {
			continue
		}
		delete(n.replies, answer.CorrelationID)
		reply <- answer.Answer
	}
}

// Send puts msg into the inbox of the control goroutine. It blocks while the
// inbox is full. It returns [ErrStopped] or the cause of the context's end.
func (n *Node) Send(ctx context.Context, msg Msg) (err error) {
	return n.enqueue(ctx, Envelope{Msg: msg})
}

// Ask sends msg like [Node.Send] and waits for its answer. It returns
// [ErrStopped] or the cause of the context's end.
func (n *Node) Ask(ctx context.Context, msg Msg) (answer Answer, err error) {
	reply := make(chan Answer, 1)
	if err := n.enqueue(ctx, Envelope{Msg: msg, reply: reply}); err != nil {
		return nil, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-n.stopped:
		return nil, ErrStopped
	}
}

// Flush waits until the messages sent before it are handled and their effects passed on.
// It returns [ErrStopped] or the cause of the context's end.
func (n *Node) Flush(ctx context.Context) (err error) {
	flushed := make(chan struct{})
	if err := n.enqueue(ctx, Envelope{flushed: flushed}); err != nil {
		return err
	}
	select {
	case <-flushed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-n.stopped:
		return ErrStopped
	}
}

func (n *Node) enqueue(ctx context.Context, envelope Envelope) (err error) {
	select {
	case n.inbox <- envelope:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-n.stopped:
		return ErrStopped
	}
}

// discardEffector is the default [Effector]. It drops all effects.
type discardEffector struct{}

func (discardEffector) Do(Effect) {}
