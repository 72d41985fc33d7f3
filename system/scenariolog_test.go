package system_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/operator"
)

// commandPage parses an operator's statement and returns a page of the
// configuration stream with its command.
func (s *scenario) commandPage(text string) (msg lentilmux.Msg, err error) {
	who := "operator"
	statement, err := operator.Parse(text)
	if err != nil {
		return nil, err
	}
	command, err := operator.BuildCommand(text, statement, lentilmux.Snapshot{})
	if err != nil {
		return nil, err
	}
	record := lentilmux.ConfigRecord{ID: fmt.Sprintf("c%d", s.configOffset), Who: who, Text: text, Command: &command}
	s.configOffset++
	entry := lentilmux.ConfigEntry{Offset: s.configOffset - 1, Record: record}
	if strings.HasPrefix(text, "drain") {
		s.lastDrain = entry
	}
	return lentilmux.ConfigPageMsg{Timeline: s.timeline, End: s.configOffset, Entries: []lentilmux.ConfigEntry{entry}}, nil
}

// restore returns the first page of a stream after the log was restored from an
// earlier copy. The field restored_at is the end of what the stream has kept, end
// the offset that the next entry gets.
func (s *scenario) restore(stream string, fields map[string]string) (msg lentilmux.Msg, err error) {
	timeline, err := strconv.ParseUint(fields["timeline"], 10, 64)
	if err != nil {
		return nil, err
	}
	restoredAt, err := strconv.ParseUint(fields["restored_at"], 10, 64)
	if err != nil {
		return nil, err
	}
	end, err := strconv.ParseUint(fields["end"], 10, 64)
	if err != nil {
		return nil, err
	}
	s.timeline = lentilmux.Timeline(timeline)
	if stream == "config" {
		s.configOffset = end
		return lentilmux.ConfigPageMsg{Timeline: s.timeline, RestoredAt: restoredAt, End: end}, nil
	}
	s.callOffset = end
	return lentilmux.CallPageMsg{Timeline: s.timeline, RestoredAt: restoredAt, End: end}, nil
}

// logEvent returns an empty page of a stream, a page that ends before the log does, or a
// failed read.
func (s *scenario) logEvent(event string, fields map[string]string) (msg lentilmux.Msg, err error) {
	end, _ := strconv.ParseUint(fields["end"], 10, 64)
	start, _ := strconv.ParseUint(fields["start"], 10, 64)
	switch event {
	case "config":
		return lentilmux.ConfigPageMsg{Start: start, End: end}, nil
	case "calls":
		return lentilmux.CallPageMsg{Start: start, End: end}, nil
	case "config_part": // a page that ends before the log does
		s.configOffset++
		entry := lentilmux.ConfigEntry{Offset: s.configOffset - 1, DecodeError: "unreadable"}
		return lentilmux.ConfigPageMsg{End: end, Entries: []lentilmux.ConfigEntry{entry}}, nil
	case "config_failed":
		return lentilmux.LogFailedMsg{Stream: lentilmux.StreamConfig, Err: os.ErrDeadlineExceeded}, nil
	case "calls_failed":
		return lentilmux.LogFailedMsg{Stream: lentilmux.StreamCalls, Err: os.ErrDeadlineExceeded}, nil
	default:
		return nil, fmt.Errorf("unknown log event %q", event)
	}
}

// callPage returns a page of the calls stream with one record.
func (s *scenario) callPage(fields map[string]string, now time.Time) (msg lentilmux.Msg, err error) {
	record := lentilmux.CallRecord{
		Kind: lentilmux.CallRecordKind(fields["kind"]), ID: fields["id"], VM: fields["vm"], Incarnation: fields["incarnation"],
		Key: fields["key"], CreatedAt: now, Outcome: outcomes[fields["outcome"]], Upstream: fields["upstream"], Status: 200,
		Parts: parseParts(fields["parts"]), Timeline: s.timeline,
	}
	if text := fields["status"]; text != "" {
		status, err := strconv.Atoi(text)
		if err != nil {
			return nil, err
		}
		record.Status = status
	}
	if text := fields["fingerprint"]; text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, err
		}
		record.Fingerprint = lentilmux.Fingerprint(number)
	}
	s.callOffset++
	return lentilmux.CallPageMsg{Timeline: s.timeline, End: s.callOffset, Entries: []lentilmux.CallEntry{{Offset: s.callOffset - 1, At: now, Record: record}}}, nil
}
