package lentilmux

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is the length of the prompt prefix that cache affinity compares,
// in bytes.
const prefixBytes = 256

// Fingerprint is a 64-bit hash of the contents of a request.
type Fingerprint uint64

// ComputeFingerprint hashes parts. Each part is hashed with its length, so that
// lists that differ only in where parts are split get different fingerprints.
func ComputeFingerprint(parts ...string) Fingerprint {
	digest := xxhash.New()
	for _, part := range parts {
		// Writing to an xxhash digest never fails.
		_, _ = digest.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return Fingerprint(digest.Sum64())
}

// ComputePrefixFingerprint hashes the model's name and the first 256 bytes of
// the prompt. Engines report the same fingerprint for prefixes in their caches.
func ComputePrefixFingerprint(model, prompt string) Fingerprint {
	return ComputeFingerprint(model, prompt[:min(len(prompt), prefixBytes)])
}
