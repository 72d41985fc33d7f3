package lentilmux

import "time"

// Msg is an event for the control goroutine, such as a new request, entries
// read from the log, a peer's digest or a failure seen by traffic. Each kind is
// a type whose name ends in Msg.
type Msg any

// Answer is the control goroutine's reply to [Node.Ask]. Each kind is a type
// whose name ends in Answer.
type Answer any

// Effect is an action that a tick decided on and that is executed after the
// tick. Each kind is a type whose name ends in Effect.
type Effect any

// CorrelationID links an [Answer] to the call of [Node.Ask] that waits for it.
// Zero means that no answer is expected.
type CorrelationID uint64

// Envelope is a message with its correlation ID. The node assigns the ID when
// it takes the message from its inbox.
type Envelope struct {
	Msg           Msg
	CorrelationID CorrelationID

	reply   chan<- Answer // nil if no answer is expected
	flushed chan struct{} // of a call of Flush, which has no message; nil otherwise
}

// Model is the state of a node and the rules that change it. Only the control
// goroutine calls it. It does no I/O.
type Model interface {
	// Tick applies batch at the time now. It returns the effects to execute
	// and the latest time of the next tick, which comes earlier if a message
	// arrives.
	Tick(now time.Time, batch []Envelope) (effects []Effect, nextTick time.Time)
}

// Effector executes effects. The control goroutine calls Do, which must not
// block.
type Effector interface {
	Do(effect Effect)
}

// AnswerEffect answers the call of [Node.Ask] with the correlation ID.
type AnswerEffect struct {
	CorrelationID CorrelationID
	Answer        Answer
}
