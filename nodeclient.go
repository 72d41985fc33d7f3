package lentilmux

import "context"

// NodeClient is the part of a [Node] that traffic goroutines use.
type NodeClient interface {
	// Send sends a message to the node without waiting for an answer.
	Send(ctx context.Context, msg Msg) (err error)
	// Ask sends a message to the node and waits for its answer.
	Ask(ctx context.Context, msg Msg) (answer Answer, err error)
}
