package fleet_test

import (
	"fmt"
	"strings"

	"lentilmux.example/lentilmux"
)

// serviceShortages returns the shortages of a digest line, such as
// short=desk-llm:0:300ms.
func serviceShortages(fields map[string]string) (shortages []lentilmux.ServiceShortage) {
	if words := strings.Split(fields["short"], ":"); len(words) == 3 {
		shortages = append(shortages, lentilmux.ServiceShortage{Service: lentilmux.HashService(words[0]), Priority: parseInt(words[1]), Age: parseDuration(words[2])})
	}
	return shortages
}

// formatShortages formats the shortages of a digest that is sent.
func formatShortages(digest lentilmux.LoadDigest) (text string) {
	for _, shortage := range digest.Shortages {
		text += fmt.Sprintf(" priority %d short of room %s ago", shortage.Priority, shortage.Age)
	}
	return text
}
