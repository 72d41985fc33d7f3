package platformlog

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// heldPart is the record of a held prompt part, as stored.
type heldPart struct {
	Clears      int       `json:"clears"`
	Round       int       `json:"round"`
	LastCrashAt time.Time `json:"last_crash_at"`
	Own         bool      `json:"own,omitempty"` // whether the part stands for a whole request
}

// EncodeHeldPart encodes the record of a held prompt part.
func EncodeHeldPart(record lentilmux.HeldPartRecord) (data []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encoding held part %s", record.Part)
	return json.Marshal(heldPart{Clears: record.Clears, Round: record.Round, LastCrashAt: record.LastCrashAt, Own: record.Own})
}

// decodeHeldPart adds the record of a held prompt part to an update, or says in
// DecodeError why that is not possible.
func decodeHeldPart(update lentilmux.StreamUpdate, value []byte) lentilmux.StreamUpdate {
	id, err := strconv.ParseUint(strings.TrimPrefix(update.Key, lentilmux.HeldPartKeyPrefix), 16, 64)
	if err != nil {
		update.DecodeError = err.Error()
		return update
	}
	var record heldPart
	if err := json.Unmarshal(value, &record); err != nil {
		update.DecodeError = err.Error()
		return update
	}
	if record.Clears < 0 || record.Round < 1 || record.LastCrashAt.IsZero() {
		update.DecodeError = "held part has a negative count or no time"
		return update
	}
	update.HeldPart = &lentilmux.HeldPartRecord{Part: lentilmux.PromptPart(id), Clears: record.Clears, Round: record.Round, LastCrashAt: record.LastCrashAt, Own: record.Own}
	return update
}
