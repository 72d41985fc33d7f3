package entryvm

import (
	"maps"
	"sync"

	"lentilmux.example/lentilmux"
)

// storeState is what the node published last of its reads of the store. It is safe
// for concurrent use.
type storeState struct {
	mu           sync.Mutex
	rulesVersion lentilmux.Revision
	timelines    map[lentilmux.Stream]lentilmux.Timeline
}

// publishRules records the version of the configuration in force.
func (s *storeState) publishRules(version lentilmux.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rulesVersion = version
}

// publishTimeline records the timeline of a stream.
func (s *storeState) publishTimeline(stream lentilmux.Stream, timeline lentilmux.Timeline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timelines == nil {
		s.timelines = make(map[lentilmux.Stream]lentilmux.Timeline)
	}
	s.timelines[stream] = timeline
}

// read returns the version of the configuration in force and the timeline of each
// stream that was read.
func (s *storeState) read() (version lentilmux.Revision, timelines map[lentilmux.Stream]lentilmux.Timeline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rulesVersion, maps.Clone(s.timelines)
}
