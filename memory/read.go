package memory

import (
	"io"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
)

const (
	// firstStepBytes is the size of the buffer for a body of unknown length, in bytes.
	firstStepBytes = 2 << 10
	// maxFirstStepBytes bounds the first buffer for a body whose length is announced,
	// in bytes. More is held only as it arrives.
	maxFirstStepBytes = 32 << 10
)

// ErrTooLong reports that a reader has more bytes than the limit.
const ErrTooLong = errors.ConstError("body exceeds the size limit")

// ReadAll reads all that r has, at most limit bytes; more is [ErrTooLong]. announced
// is the number of bytes to expect, or negative. The buffer doubles as bytes arrive,
// and account holds the old and the new one meanwhile. If the account may hold no
// more, ReadAll returns [lentilmux.ErrNoMemory]. What was read is returned also with
// an error; it stays held. A nil account holds nothing.
func ReadAll(r io.Reader, announced, limit int64, account lentilmux.MemoryAccount) (data []byte, err error) {
	size := int64(firstStepBytes)
	if announced >= 0 {
		size = min(announced+1, maxFirstStepBytes) // the last byte is for the end to be read
	}
	if data, err = grow(nil, min(size, limit+1), account); err != nil {
		return nil, err
	}
	for {
		count, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		switch {
		case int64(len(data)) > limit:
			return data, ErrTooLong
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		case len(data) < cap(data):
			continue
		}
		size = 2 * int64(cap(data))
		if announced >= int64(len(data)) {
			size = min(size, announced+1)
		}
		if data, err = grow(data, min(size, limit+1), account); err != nil {
			return data, err
		}
	}
}

// grow returns a buffer of the given size with the bytes of data.
func grow(data []byte, size int64, account lentilmux.MemoryAccount) (grown []byte, err error) {
	if account != nil {
		if err = account.Hold(int64(cap(data)) + size); err != nil {
			return data, err
		}
	}
	grown = append(make([]byte, 0, size), data...)
	if account != nil && cap(data) > 0 {
		err = account.Hold(size)
	}
	return grown, err
}
