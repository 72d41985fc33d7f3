package http1

import "github.com/juju/errors"

// The names of the fields that say where a body ends, in lower case.
const (
	lengthName = "content-length"
	codingName = "transfer-encoding"
)

// checkLineStart checks the first byte of a line. A line that begins with a blank would
// continue the value before it, which no server may send; it may be a field whose name
// was damaged.
func (h *headChecker) checkLineStart(b byte) (err error) {
	switch {
	case b == '\n':
		return h.endHead()
	case b == '\r':
		h.state = beforeHeadEnd
	case b == ':':
		return errors.New("field without a name")
	default:
		h.state, h.nameLength = inName, 0
		return h.checkName(b)
	}
	return nil
}

// checkName checks a byte of a field's name or the colon after it.
func (h *headChecker) checkName(b byte) (err error) {
	switch {
	case b == ':':
		h.endName()
	case !isTokenByte(b):
		return errors.Errorf("byte 0x%02x in the name of a field", b)
	default:
		h.addToName(b)
	}
	return nil
}

// addToName adds a byte to the name of a field.
func (h *headChecker) addToName(b byte) {
	if h.nameLength < len(h.name) {
		h.name[h.nameLength] = lower(b)
	}
	h.nameLength++
}

// endName ends the name of a field.
func (h *headChecker) endName() {
	h.state = inText
	if h.nameLength > len(h.name) {
		return
	}
	switch string(h.name[:h.nameLength]) {
	case lengthName:
		h.hasLength = true
	case codingName:
		h.hasCoding = true
	}
}

// isTokenByte reports whether b may be in the name of a field.
func isTokenByte(b byte) bool {
	switch {
	case isDigit(b), b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z':
		return true
	}
	switch b {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}

// lower returns b in lower case if it is an ASCII letter.
func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
