package http1

import (
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

const (
	// statusPrefix begins each status line; a digit, a blank and the status follow.
	statusPrefix = "HTTP/1."
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// statusLineBytes is the length of a status line up to the status, in bytes.
	statusLineBytes = len(statusPrefix) + len("1 ") + statusDigits
	// lengthName and codingName are the names of the fields that say where a body ends, in
	// lower case.
	lengthName = "content-length"
	codingName = "transfer-encoding"
	// maxStatus is the highest status that the protocol defines a class for.
	maxStatus = 599
)

// headState is the part of a head that the next byte belongs to.
type headState int

// The states, in the order in which they occur.
const (
	inStatusLine  headState = iota // version and status
	afterStatus                    // the byte after the status
	inText                         // reason phrase or value of a field
	beforeLineEnd                  // LF after a CR
	atLineStart                    // the first byte of a field or of the end
	inName                         // name of a field
	beforeHeadEnd                  // LF of the empty line
	complete                       // the head of the final answer has ended
)

// headChecker checks the heads of one answer and of the interim answers before it, byte by
// byte. The zero value is ready for use.
type headChecker struct {
	state      headState
	statusLine [statusLineBytes]byte // its beginning, of which length bytes have arrived
	length     int
	isInterim  bool // whether another head follows
	isOld      bool // whether it is of HTTP/1.0, which has no transfer codings

	name       [len(codingName)]byte // of the field, in lower case; its beginning if it is longer
	nameLength int
	hasLength  bool // whether a field gives the length of the body
	hasCoding  bool // whether a field gives a transfer coding
}

// isComplete reports whether the head of the final answer has ended.
func (h *headChecker) isComplete() bool { return h.state == complete }

// check checks the next bytes up to the end of the final head. The error wraps
// [ErrMalformedHead].
func (h *headChecker) check(data []byte) (err error) {
	for _, b := range data {
		if h.isComplete() {
			return nil
		}
		if err := h.checkByte(b); err != nil {
			return errors.WithType(err, ErrMalformedHead)
		}
	}
	return nil
}

// checkByte checks the next byte of a head.
func (h *headChecker) checkByte(b byte) (err error) {
	switch h.state {
	case inStatusLine:
		return h.checkStatusLine(b)
	case afterStatus:
		return h.checkAfterStatus(b)
	case inText:
		return h.checkText(b)
	case atLineStart:
		return h.checkLineStart(b)
	case inName:
		return h.checkName(b)
	case beforeLineEnd:
		h.state = atLineStart
		return checkLineFeed(b)
	default:
		if err = checkLineFeed(b); err != nil {
			return err
		}
		return h.endHead()
	}
}

// checkStatusLine collects the bytes of the status line up to the status.
func (h *headChecker) checkStatusLine(b byte) (err error) {
	h.statusLine[h.length] = b
	h.length++
	if h.length < statusLineBytes {
		return nil
	}
	h.state = afterStatus
	status, err := parseStatusLine(string(h.statusLine[:]))
	h.isInterim = status < http.StatusOK
	h.isOld = h.statusLine[len(statusPrefix)] == '0'
	return err
}

// parseStatusLine returns the status of a status line that ends after it. A status has
// three digits and a class, from 1 to 5. No request asks for another protocol, so 101 is
// invalid.
func parseStatusLine(line string) (status int, err error) {
	version, digits := line[:len(line)-statusDigits], line[len(line)-statusDigits:]
	minor := version[len(statusPrefix)]
	if version[:len(statusPrefix)] != statusPrefix || !isDigit(minor) || version[len(version)-1] != ' ' {
		return 0, errors.Errorf("status line begins with %q; expected HTTP/1.x and a status", line)
	}
	status, err = strconv.Atoi(digits)
	if err != nil || !isDigit(digits[0]) || status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return 0, errors.Errorf("status %q; expected one from 100 to %d other than 101", digits, maxStatus)
	}
	return status, nil
}

// checkAfterStatus checks the byte after the status, which a reason phrase may follow.
func (h *headChecker) checkAfterStatus(b byte) (err error) {
	switch b {
	case ' ', '\r', '\n':
		h.state = inText
		return h.checkText(b)
	default:
		return errors.Errorf("byte 0x%02x follows the status", b)
	}
}

// checkText checks a byte of a reason phrase or of a value.
func (h *headChecker) checkText(b byte) (err error) {
	switch {
	case b == '\n':
		h.state = atLineStart
	case b == '\r':
		h.state = beforeLineEnd
	case isControl(b) && b != '\t':
		return errors.Errorf("control byte 0x%02x in a value or a reason phrase", b)
	}
	return nil
}

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

// checkLineFeed checks the byte after a CR.
func checkLineFeed(b byte) (err error) {
	if b != '\n' {
		return errors.Errorf("byte 0x%02x follows a CR", b)
	}
	return nil
}

// endHead ends a head. After that of an interim answer another one begins. A transfer
// coding beside a length, or in HTTP/1.0, leaves open where the body ends.
func (h *headChecker) endHead() (err error) {
	switch {
	case h.hasCoding && h.hasLength:
		return errors.New("both a transfer coding and a length")
	case h.hasCoding && h.isOld:
		return errors.New("transfer coding in HTTP/1.0")
	case h.isInterim:
		*h = headChecker{}
	default:
		h.state = complete
	}
	return nil
}

// lower returns b in lower case if it is an ASCII letter.
func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isControl reports whether b is an ASCII control character.
func isControl(b byte) bool { return b < ' ' || b == 0x7f }

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
