package platformlog_test

import (
	"testing"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/platformlog"
)

// BenchmarkRecords measures encoding and decoding the records of a call with an
// idempotency key, and reports their encoded size.
func BenchmarkRecords(b *testing.B) {
	records := map[string]lentilmux.CallRecord{
		"intent":  {Kind: lentilmux.CallRecordIntent, ID: "0197f3a0-0000-7000-8000-000000000000-123456", VM: "entry-123", Incarnation: "0197f3a0-0000-7000-8000-000000000000", Key: "call/workspace-0001/0197f3a0-0000-7000-8000-000000000000", CreatedAt: time.Unix(1e9, 0), Fingerprint: 1 << 60},
		"outcome": {Kind: lentilmux.CallRecordOutcome, ID: "0197f3a0-0000-7000-8000-000000000000-123456", VM: "entry-123", Incarnation: "0197f3a0-0000-7000-8000-000000000000", Key: "call/workspace-0001/0197f3a0-0000-7000-8000-000000000000", Outcome: lentilmux.OutcomeAnswered, Status: 200, ContentType: "application/json", Body: make([]byte, 200)},
	}
	for _, kind := range []string{"intent", "outcome"} {
		b.Run(kind, func(b *testing.B) {
			var data []byte
			for b.Loop() {
				var err error
				if data, err = platformlog.EncodeCall(records[kind]); err != nil {
					b.Fatal(err)
				}
				if _, err = platformlog.DecodeCall(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes/record")
		})
	}
}
