// Package standin holds small stand-ins of the systems that the router meets:
// model engines, plain services, the platform's log, its list of VMs and its
// weight store. They serve as processes through [Serve] and, in process behind
// the root package's interfaces, as the fakes of tests.
//
// Each has just what a decision of the router reads or a failure needs. Engines
// and services keep a ledger of what they ran, which proofs read.
//
// # Usage
//
//	fleet := standin.NewEngines()
//	fleet.Add(addr, standin.NewEngine(standin.EngineSpec{Name: "worker-1", Layers: 32, Rate: 4000, Slots: 8}))
//	relay := engine.NewRelay(node, fleet)
package standin

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// words are the vocabulary of the model.
var words = []string{"steam", "ticket", "thread", "spine", "slot", "cover", "towel", "quote", "frame", "guest", "cedar", "linen"}

// contextOf returns the hash of a prompt and the tokens after it.
func contextOf(model, prompt string, generated []string) uint64 {
	h := xxhash.Sum64String(model + "\x00" + prompt)
	for _, token := range generated {
		h = extend(h, token)
	}
	return h
}

// extend adds a token to a context.
func extend(context uint64, token string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(context, 16) + token)
}

// layer runs one layer on an activation.
func layer(activation uint64, number int) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], activation)
	binary.LittleEndian.PutUint64(data[8:], uint64(number))
	return xxhash.Sum64(data[:])
}

// tokenOf turns the last layer's activation into a token.
func tokenOf(activation uint64) string {
	return words[activation%uint64(len(words))] + " "
}

// ExpectedTokens returns the answer that a model gives when each of its layers runs
// once, in order, for every token.
func ExpectedTokens(model string, layers int, prompt string, tokens int) (answer []string) {
	context := contextOf(model, prompt, nil)
	for range tokens {
		activation := context
		for l := range layers {
			activation = layer(activation, l)
		}
		token := tokenOf(activation)
		answer = append(answer, token)
		context = extend(context, token)
	}
	return answer
}
