package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// maxSoundParts bounds the parts of one generation of [SoundParts].
const maxSoundParts = 2048

// SoundParts remembers, within bounds, the parts of prompts that were answered
// lately, in two generations.
type SoundParts struct {
	current, previous map[lentilmux.PromptPart]bool
	rotatedAt         time.Time
}

// record records that a prompt with the part was answered.
func (s *SoundParts) record(part lentilmux.PromptPart, now time.Time, window time.Duration) {
	if s.current == nil || len(s.current) >= maxSoundParts || now.Sub(s.rotatedAt) >= window {
		s.previous, s.current, s.rotatedAt = s.current, make(map[lentilmux.PromptPart]bool), now
	}
	s.current[part] = true
}

// contains reports whether a prompt with the part was answered within the window,
// or up to one window before that.
func (s *SoundParts) contains(part lentilmux.PromptPart, now time.Time, window time.Duration) bool {
	age := now.Sub(s.rotatedAt)
	return age < 2*window && s.current[part] || age < window && s.previous[part]
}
