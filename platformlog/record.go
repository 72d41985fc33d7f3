package platformlog

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

// recordVersion is the version of the records that this program writes, and
// the newest that it reads.
const recordVersion = 1

// ErrNewerVersion reports a record that a newer program wrote.
const ErrNewerVersion = errors.ConstError("record of a newer version")

type configEnvelope struct {
	Version int `json:"version"`
	lentilmux.ConfigRecord
}

type callEnvelope struct {
	Version int `json:"version"`
	lentilmux.CallRecord
}

// EncodeConfig returns the bytes of a configuration record.
func EncodeConfig(record lentilmux.ConfigRecord) (data []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encoding configuration record %s", record.ID)
	return json.Marshal(configEnvelope{Version: recordVersion, ConfigRecord: record})
}

// DecodeConfig reads a configuration record. It returns [ErrNewerVersion] or
// the error of bytes that are no record.
func DecodeConfig(data []byte) (record lentilmux.ConfigRecord, err error) {
	defer errors.DeferredAnnotatef(&err, "decoding configuration record")
	var envelope configEnvelope
	if err := decode(data, &envelope, &envelope.Version); err != nil {
		return lentilmux.ConfigRecord{}, err
	}
	return envelope.ConfigRecord, nil
}

// EncodeCall returns the bytes of a call record.
func EncodeCall(record lentilmux.CallRecord) (data []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encoding call record %s", record.ID)
	return json.Marshal(callEnvelope{Version: recordVersion, CallRecord: record})
}

// DecodeCall reads a call record. It returns [ErrNewerVersion] or the error of
// bytes that are no record.
func DecodeCall(data []byte) (record lentilmux.CallRecord, err error) {
	defer errors.DeferredAnnotatef(&err, "decoding call record")
	var envelope callEnvelope
	if err := decode(data, &envelope, &envelope.Version); err != nil {
		return lentilmux.CallRecord{}, err
	}
	return envelope.CallRecord, nil
}

// decode reads data into envelope and checks the version that it fills.
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

// EncodeVM encodes what an entry VM says of itself.
func EncodeVM(record lentilmux.VMRecord) (data []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encoding the record of VM %s", record.Name)
	return json.Marshal(record)
}

// DecodeVM decodes an entry of [lentilmux.StreamVMs].
func DecodeVM(entry lentilmux.KeyedEntry) (fact lentilmux.StreamUpdate) {
	fact = lentilmux.StreamUpdate{Key: entry.Key, Offset: entry.Offset}
	if len(entry.Value) == 0 {
		return fact
	}
	var record lentilmux.VMRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		fact.DecodeError = err.Error()
		return fact
	}
	if record.Name != entry.Key || !record.Addr.IsValid() {
		fact.DecodeError = "no record of that VM"
		return fact
	}
	fact.VM = &record
	return fact
}
