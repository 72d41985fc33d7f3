package fleet_test

import (
	"strings"
	"time"

	"lentilmux.example/lentilmux"
)

// upstreamDrain returns the message for an answer that announces the drain of the
// process with the given start.
func upstreamDrain(name string, fields map[string]string) lentilmux.Msg {
	return lentilmux.UpstreamDrainMsg{Request: "answered", Upstream: name, StartedAt: time.Unix(int64(parseInt(fields["started_at"])), 0)}
}

// announcedDrains returns what a digest says of one announced drain, such as
// app-1:9 for the process that started at 9, if it does.
func announcedDrains(fields map[string]string) (drains []lentilmux.UpstreamDrain) {
	upstream, startedAt, ok := strings.Cut(fields["drain"], ":")
	if !ok {
		return nil
	}
	return []lentilmux.UpstreamDrain{{Upstream: lentilmux.HashUpstream(upstream), StartedAt: time.Unix(int64(parseInt(startedAt)), 0), Age: parseDuration(fields["age"])}}
}

// nameOf returns the ID of an upstream by its hash, or "unknown".
func (s *scenario) nameOf(hash lentilmux.UpstreamHash) string {
	if row := s.tables.Upstreams.FindByHash(hash); row != nil {
		return row.ID
	}
	return "unknown"
}
