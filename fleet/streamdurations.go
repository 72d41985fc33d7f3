package fleet

import (
	"time"

	"lentilmux.example/lentilmux"
)

// StreamDurationRow is how long the streams of a service took lately on this VM.
type StreamDurationRow struct {
	Service    string
	Mean       time.Duration // weighted, the newest streams most
	MeasuredAt time.Time     // end of the newest stream
}

// StreamDurations is the table of stream durations, by service.
type StreamDurations struct {
	Rows []StreamDurationRow
}

const (
	// streamDurationWeight is the weight of one stream in the mean: about the last
	// 16 streams count.
	streamDurationWeight = 1.0 / 16
	// streamDurationRetention is how long a mean is used without a new stream.
	streamDurationRetention = time.Minute
	// defaultStreamDuration is assumed before a stream was measured.
	defaultStreamDuration = 2 * time.Second
	// minStreamDuration and maxStreamDuration bound the typical duration, so that
	// refused callers neither return together nor wait for a few very long streams.
	minStreamDuration = 500 * time.Millisecond
	maxStreamDuration = 10 * time.Second
)

// record adds a stream to the mean of its service.
func (s *StreamDurations) record(service string, duration time.Duration, now time.Time) {
	row := s.find(service)
	if row == nil || now.Sub(row.MeasuredAt) > streamDurationRetention {
		s.put(StreamDurationRow{Service: service, Mean: duration, MeasuredAt: now})
		return
	}
	row.Mean += time.Duration(streamDurationWeight * float64(duration-row.Mean))
	row.MeasuredAt = now
}

func (s *StreamDurations) find(service string) *StreamDurationRow {
	for i := range s.Rows {
		if s.Rows[i].Service == service {
			return &s.Rows[i]
		}
	}
	return nil
}

func (s *StreamDurations) put(row StreamDurationRow) {
	if known := s.find(row.Service); known != nil {
		*known = row
		return
	}
	s.Rows = append(s.Rows, row)
}

// Typical returns the typical duration of a service's streams.
func (s *StreamDurations) Typical(service string, now time.Time) (duration time.Duration) {
	row := s.find(service)
	if row == nil || now.Sub(row.MeasuredAt) > streamDurationRetention {
		return defaultStreamDuration
	}
	return min(max(row.Mean, minStreamDuration), maxStreamDuration)
}

// MeasureStreams measures how long answered streams of services with layers took. It
// runs before [FinishRequests], which removes their rows. It reads Events.Done, Requests
// and Rules and writes StreamDurations.
type MeasureStreams struct{}

// Run implements [System].
func (m *MeasureStreams) Run(t *Tables, now time.Time) {
	for _, msg := range t.Events.Done {
		request := t.Requests.Find(msg.Request)
		if request != nil && msg.Outcome == lentilmux.OutcomeAnswered && msg.Duration > 0 && t.hasLayers(request.Service) {
			t.StreamDurations.record(request.Service, msg.Duration, now)
		}
	}
}
