package lentilmux

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is the part of a prompt, in bytes, that cache affinity compares.
const prefixBytes = 256

// Fingerprint is a hash of what a request asks for.
type Fingerprint uint64

// ComputeFingerprint hashes parts so that different lists of parts differ.
func ComputeFingerprint(parts ...string) Fingerprint {
	digest := xxhash.New()
	for _, part := range parts {
		// Writing to a digest never fails.
		_, _ = digest.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return Fingerprint(digest.Sum64())
}

// ComputePrefixFingerprint hashes the beginning of a model's prompt, which is what engines
// report to hold in their caches.
func ComputePrefixFingerprint(model, prompt string) Fingerprint {
	return ComputeFingerprint(model, prompt[:min(len(prompt), prefixBytes)])
}
