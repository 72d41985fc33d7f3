package platformlog_test

import (
	"testing"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/platformlog"
)

// FuzzRecords guards against records of the streams that end the process, or that
// are taken over although they name nothing.
func FuzzRecords(f *testing.F) {
	f.Add("entry-1", []byte(`{"name":"entry-1","zone":"kochi","addr":"10.0.0.1:7000"}`))
	f.Add("entry-1", []byte(`{"Name":"entry-1","Zone":"kochi","Addr":"10.0.0.1:7000"}`))
	f.Add("held_part/7", []byte(`{"clears":0,"round":3,"last_crash_at":"2026-01-01T00:00:00Z"}`))
	f.Add("held_part/-1", []byte(`{"clears":-1,"round":9223372036854775807,"last_crash_at":"9999-01-01T00:00:00Z"}`))
	f.Add("k", []byte(`{"version":1,"id":"c1"}`))
	f.Add("k", []byte(`{"version":1e400}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		update := platformlog.DecodeVM(lentilmux.CompactedEntry{Key: key, Value: value, Offset: 1})
		if len(value) > 0 && update.VM == nil && update.HeldPart == nil && update.DecodeError == "" {
			t.Fatal("neither record nor error")
		}
		if vm := update.VM; vm != nil && (vm.Name != key || !vm.Addr.IsValid()) {
			t.Fatalf("record %+v of key %q", vm, key)
		}
		if part := update.HeldPart; part != nil && (part.Round < 1 || part.Clears < 0) {
			t.Fatalf("held part %+v", part)
		}
		_, _ = platformlog.DecodeConfig(value)
		_, _ = platformlog.DecodeCall(value)
	})
}
