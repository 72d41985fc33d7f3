package platformlog

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// recordVersion is the version of the records that this program writes, and the
// newest version that it can read.
const recordVersion = 1

// ErrNewerVersion reports a record whose version is newer than this program can
// read.
const ErrNewerVersion = errors.ConstError("record of a newer version")

// configEnvelope is a configuration record with its version, as stored.
type configEnvelope struct {
	Version int `json:"version"`
	lentilmux.ConfigRecord
}

// callEnvelope is a call record with its version, as stored.
type callEnvelope struct {
	Version int `json:"version"`
	lentilmux.CallRecord
}

// EncodeConfig encodes a configuration record as JSON.
func EncodeConfig(record lentilmux.ConfigRecord) (data []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encoding configuration record %s", record.ID)
	return json.Marshal(configEnvelope{Version: recordVersion, ConfigRecord: record})
}

// DecodeConfig decodes a configuration record. It returns [ErrNewerVersion] for
// a newer version, and another error for data that is not a record.
func DecodeConfig(data []byte) (record lentilmux.ConfigRecord, err error) {
	defer errors.DeferredAnnotatef(&err, "decoding configuration record")
	var envelope configEnvelope
	if err := decode(data, &envelope, &envelope.Version); err != nil {
		return lentilmux.ConfigRecord{}, err
	}
	return envelope.ConfigRecord, nil
}

// EncodeCall encodes a call record as JSON.
func EncodeCall(record lentilmux.CallRecord) (data []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encoding call record %s", record.ID)
	return json.Marshal(callEnvelope{Version: recordVersion, CallRecord: record})
}

// DecodeCall decodes a call record. It returns [ErrNewerVersion] for a newer
// version, and another error for data that is not a record.
func DecodeCall(data []byte) (record lentilmux.CallRecord, err error) {
	defer errors.DeferredAnnotatef(&err, "decoding call record")
	var envelope callEnvelope
	if err := decode(data, &envelope, &envelope.Version); err != nil {
		return lentilmux.CallRecord{}, err
	}
	return envelope.CallRecord, nil
}

// decode decodes data into envelope. It rejects newer versions, and data
// without a version; the argument version points to the envelope's field.
func decode(data []byte, envelope any, version *int) (err error) {
	var header struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return err
	}
	if header.Version > recordVersion {
		return errors.WithType(fmt.Errorf("version %d, this program reads up to %d", header.Version, recordVersion), ErrNewerVersion)
	}
	if err := json.Unmarshal(data, envelope); err != nil {
		return err
	}
	if *version < 1 {
		return errors.New("the record has no version")
	}
	return nil
}

// EncodeVM encodes the record by which an entry VM announces itself.
func EncodeVM(record lentilmux.VMRecord) (data []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encoding record of VM %s", record.Name)
	return json.Marshal(record)
}

// DecodeVM decodes an entry of [lentilmux.StreamVMs], the record of a VM or of a
// held prompt part. An entry without a value is a deletion. If the entry cannot be
// decoded, the update's DecodeError says why.
func DecodeVM(entry lentilmux.CompactedEntry) (update lentilmux.StreamUpdate) {
	update = lentilmux.StreamUpdate{Key: entry.Key, Offset: entry.Offset}
	if len(entry.Value) == 0 {
		return update
	}
	if strings.HasPrefix(entry.Key, lentilmux.HeldPartKeyPrefix) {
		return decodeHeldPart(update, entry.Value)
	}
	var record lentilmux.VMRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		update.DecodeError = err.Error()
		return update
	}
	if record.Name != entry.Key || !record.Addr.IsValid() {
		update.DecodeError = "VM record has a name other than its key or no valid address"
		return update
	}
	update.VM = &record
	return update
}
