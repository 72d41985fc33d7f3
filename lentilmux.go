// Package lentilmux routes requests for language models over pipelines of
// mixed accelerators, and for the plain services that stand beside them.
//
// One [Node] runs in every entry VM. Its control goroutine owns all state: it
// waits for typed messages ([Msg]), hands each batch to a [Model] as one tick
// and carries out the [Effect] values that come back. Traffic goroutines own
// connections and bytes; they reach the state only through [Node.Send] and
// [Node.Ask].
//
// The package holds the loop, the messages and the interfaces of what varies:
// [Engine], [Service], [Log], [VMList], [Peer] and the policies [Dispatch],
// [Placement] and [Admission]. Implementations live in the packages below it,
// one for each peer or protocol. Nothing here encodes a message, so that
// another front end can drive the same decisions.
//
// # Usage
//
// A node is a value made from a model and options:
//
//	node := lentilmux.NewNode(
//		system.New(tables, system.WithDispatch(dispatch.NewTwoChoices(seed))),
//		lentilmux.WithEffector(effects),
//		lentilmux.WithInboxSize(4096),
//	)
//	go node.Run(ctx)
//
//	answer, err := node.Ask(ctx, lentilmux.RequestMsg{Request: request})
//
// Many nodes can live in one process, since none keeps package-level state.
package lentilmux
