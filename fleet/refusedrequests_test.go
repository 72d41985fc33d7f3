package fleet_test

import (
	"fmt"
	"strings"

	"lentilmux.example/lentilmux"
)

// refusedRequests returns the refused requests of a digest line, such as
// refused=r1:2s,r2:3s.
func refusedRequests(fields map[string]string) (refused []lentilmux.RefusedRequest) {
	for _, entry := range strings.FieldsFunc(fields["refused"], func(r rune) bool { return r == ',' }) {
		name, remaining, _ := strings.Cut(entry, ":")
		refused = append(refused, lentilmux.RefusedRequest{Request: lentilmux.HashRequest(lentilmux.ComputeFingerprint("", name)), Remaining: parseDuration(remaining)})
	}
	return refused
}

// formatRefused formats the number of refused requests of a digest that is sent, and how
// long the first of them is expected.
func formatRefused(digest lentilmux.LoadDigest) (text string) {
	if len(digest.Refused) == 0 {
		return ""
	}
	return fmt.Sprintf(" %d refused, the latest expected for %s", len(digest.Refused), digest.Refused[0].Remaining)
}
