package lentilmux

import (
	"strconv"
	"strings"
)

// PromptPart identifies one part of a prompt, such as the instructions that many
// callers send first. Requests whose prompts share text share parts.
type PromptPart uint64

// String returns the part in hexadecimal, as log lines show it.
func (p PromptPart) String() string { return strconv.FormatUint(uint64(p), 16) }

// FormatPromptParts returns the first limit parts, separated by commas, for a log
// line. It returns "none" if there are no parts.
func FormatPromptParts(parts []PromptPart, limit int) string {
	if len(parts) == 0 {
		return "none"
	}
	var text strings.Builder
	for i, part := range parts[:min(len(parts), limit)] {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(part.String())
	}
	if len(parts) > limit {
		text.WriteString(",...")
	}
	return text.String()
}
