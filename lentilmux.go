// Package lentilmux routes requests to language models, whose layers are spread
// over pipelines of mixed accelerators, and to plain services.
//
// One [Node] runs in every entry VM. Its control goroutine owns all state: it
// waits for typed messages ([Msg]), passes each batch to a [Model] as one tick
// and executes the [Effect] values that the tick returns. Traffic goroutines
// own connections and the bytes on them. They reach the state only through
// [Node.Send] and [Node.Ask].
//
// The package defines the control loop, the messages and the interfaces of all
// behavior that varies: the remote parties [Engine], [Service], [Log], [VMList]
// and [Peer], and the policies [Dispatch], [Placement] and [Admission]. The
// subpackages implement them, one for each protocol or policy. This package
// encodes no messages, so that another front end can use the same decisions.
//
// # Usage
//
// A node is made from a model and options:
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
// One process can run many nodes, since there is no package-level state.
package lentilmux
