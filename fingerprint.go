package lentilmux

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// prefixLength is the part of a prompt, in bytes, that cache affinity compares.
const prefixLength = 256

// Fingerprint is a hash of what a request asks for.
type Fingerprint uint64

// FingerprintOf hashes parts so that different lists of parts differ.
func FingerprintOf(parts ...string) Fingerprint {
	digest := xxhash.New()
	for _, part := range parts {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return Fingerprint(digest.Sum64())
}

// PrefixOf hashes the beginning of a model's prompt, which is what engines
// report to hold in their caches.
func PrefixOf(model, prompt string) Fingerprint {
	return FingerprintOf(model, prompt[:min(len(prompt), prefixLength)])
}
