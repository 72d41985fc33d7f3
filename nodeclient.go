package lentilmux

import "context"

// NodeClient is the part of a [Node] that traffic uses.
type NodeClient interface {
	// Send hands a message to the node.
	Send(ctx context.Context, msg Msg) (err error)
	// Ask hands a message to the node and waits for its answer.
	Ask(ctx context.Context, msg Msg) (answer Answer, err error)
}
