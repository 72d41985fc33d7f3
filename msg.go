package lentilmux

import "time"

// Msg is an event for the control goroutine: a request, a record of the log, a
// peer's digest, a failure seen by traffic. Each kind is a type whose name
// ends in Msg.
type Msg any

// Answer is what the control goroutine replies to [Node.Ask]. Each kind is a
// type whose name ends in Answer.
type Answer any

// Effect is an action that a tick decided on and that is carried out after it.
// Each kind is a type whose name ends in Effect.
type Effect any

// CorrelationID names one asker that waits for an [Answer]. The zero ticket means
// that nobody waits.
type CorrelationID uint64

// Envelope is a message with the ticket of its sender.
type Envelope struct {
	Msg           Msg
	CorrelationID CorrelationID

	reply chan<- Answer
}

// Model is the state of a node and the rules that change it. It is called by
// one goroutine only and does no input or output.
type Model interface {
	// Tick applies batch at the time now. It returns the effects to carry
	// out and the time at which it wants the next tick if no message comes.
	Tick(now time.Time, batch []Envelope) (effects []Effect, due time.Time)
}

// Effector carries out effects. Do is called on the control goroutine and must
// not block.
type Effector interface {
	Do(effect Effect)
}

// AnswerEffect answers the asker that holds the ticket.
type AnswerEffect struct {
	CorrelationID CorrelationID
	Answer        Answer
}
