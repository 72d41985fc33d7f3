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
// behavior that varies: remote parties such as [Engine], [Service], [Log],
// [VMList] and [Peer], and policies such as [Dispatch], [Placement] and
// [Admission]. The subpackages implement them, one for each protocol or policy.
// This package encodes no messages, so that another front end can use the same
// decisions.
//
// Packages system and fleet implement [Model]. With package system, the entry VM
// drives each pipeline stage of a request itself ([RequestMsg], [Route],
// [Engine]). With package fleet, it sends the request to one upstream or to the
// first hop of a path, whose upstreams pass activations on to one another
// ([ForwardMsg], [Attempt], [PathEngine]).
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
