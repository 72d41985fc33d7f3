package platformlog_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/platformlog"
)

// TestRecordRoundTrip checks that decoding an encoded record returns the same
// record.
func TestRecordRoundTrip(t *testing.T) {
	config := lentilmux.ConfigRecord{ID: "c1", Who: "asha", Text: "drain upstream w", Command: &lentilmux.Command{Verb: lentilmux.VerbDrain, Entity: lentilmux.EntityUpstream, Name: "w", IfRevision: 3}}
	data, err := platformlog.EncodeConfig(config)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := platformlog.DecodeConfig(data); err != nil || !reflect.DeepEqual(got, config) {
		t.Errorf("got %+v, %v from %s", got, err, data)
	}
	call := lentilmux.CallRecord{Kind: lentilmux.CallRecordOutcome, ID: "i1", VM: "entry-1", Key: "k", CreatedAt: time.Unix(5, 0).UTC(), Outcome: lentilmux.OutcomeAnswered, Status: 200, Body: []byte("ok")}
	if data, err = platformlog.EncodeCall(call); err != nil {
		t.Fatal(err)
	}
	if got, err := platformlog.DecodeCall(data); err != nil || !reflect.DeepEqual(got, call) {
		t.Errorf("got %+v, %v from %s", got, err, data)
	}
}

// TestInvalidRecords checks that malformed records and records without a
// version are rejected, and that only a newer version gives ErrNewerVersion. A
// configuration record of a newer version makes an entry VM report that it is
// not ready, which a malformed record must not do.
func TestInvalidRecords(t *testing.T) {
	for _, data := range []string{"", "{", "[]", `{"id":"x"}`, `{"version":0}`, "\x00\x01", `{"version":1,"command":7}`} {
		if _, err := platformlog.DecodeConfig([]byte(data)); err == nil || errors.Is(err, platformlog.ErrNewerVersion) {
			t.Errorf("%q was decoded with error %v", data, err)
		}
	}
	if _, err := platformlog.DecodeConfig([]byte(`{"version":2,"id":"x"}`)); !errors.Is(err, platformlog.ErrNewerVersion) {
		t.Errorf("newer version gave error %v, want ErrNewerVersion", err)
	}
}

// FuzzDecode checks that no input makes the decoders panic, and that every
// decoded record can be encoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":1,"id":"x","who":"w","command":{"verb":"drain","entity":"upstream","name":"w"}}`))
	f.Add([]byte(`{"version":1,"kind":"intent","id":"x","key":"k","born":"2026-01-01T00:00:00Z"}`))
	f.Add([]byte(`{"version":9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if record, err := platformlog.DecodeConfig(data); err == nil {
			if _, err := platformlog.EncodeConfig(record); err != nil {
				t.Errorf("%q: %v", data, err)
			}
		}
		if record, err := platformlog.DecodeCall(data); err == nil {
			if _, err := platformlog.EncodeCall(record); err != nil {
				t.Errorf("%q: %v", data, err)
			}
		}
	})
}
