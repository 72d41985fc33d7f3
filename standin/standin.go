// Package standin simulates the systems that the router depends on: model
// engines, plain services, the platform's log, its list of VMs and its weight
// store.
//
// Tests use the types in process, where they implement interfaces of the root
// package. To serve them over the network, as command lentilstand does, wrap
// them with [EngineHandler], [ServiceHandler] or [PlatformHandler] and run the
// handler on a [Host].
//
// The stand-ins simulate only what the router's decisions read and what is
// needed to cause failures. Engines and services record each execution in a
// ledger, from which tests check that nothing ran twice or was skipped.
//
// # Usage
//
//	engines := standin.NewEngines()
//	engines.Add(addr, standin.NewEngine(standin.EngineSpec{Name: "worker-1", MaxLayers: 32, LayerStepsPerSecond: 4000, Slots: 8}))
//	relay := engine.NewRelay(node, engines)
package standin

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words that the simulated model generates as tokens.
var vocabulary = []string{"steam", "ticket", "thread", "spine", "slot", "cover", "towel", "quote", "frame", "guest", "cedar", "linen"}

// hashContext returns the hash of the model's name, the prompt and the tokens
// generated so far. It stands for the content of a KV cache.
func hashContext(model, prompt string, generated []string) uint64 {
	h := xxhash.Sum64String(model + "\x00" + prompt)
	for _, token := range generated {
		h = extendContext(h, token)
	}
	return h
}

// extendContext returns the context hash after one more generated token.
func extendContext(hash uint64, token string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(hash, 16) + token)
}

// runLayer returns the output of one layer: a hash of its input activation and its
// number, so that a skipped, repeated or reordered layer changes the result.
func runLayer(activation uint64, number int) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], activation)
	binary.LittleEndian.PutUint64(data[8:], uint64(number))
	return xxhash.Sum64(data[:])
}

// tokenFromActivation returns the token that the last layer's activation selects.
func tokenFromActivation(activation uint64) string {
	return vocabulary[activation%uint64(len(vocabulary))] + " "
}

// ExpectedTokens returns the tokens that a model generates for a prompt when each
// of its layers runs once per token, in order. Tests compare the router's answers
// with it. The parameter layers is the number of the model's layers, and tokens
// the number of tokens to generate.
func ExpectedTokens(model string, layers int, prompt string, tokens int) (answer []string) {
	contextHash := hashContext(model, prompt, nil)
	for range tokens {
		activation := contextHash
		for l := range layers {
			activation = runLayer(activation, l)
		}
		token := tokenFromActivation(activation)
		answer = append(answer, token)
		contextHash = extendContext(contextHash, token)
	}
	return answer
}
