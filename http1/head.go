package http1

import "github.com/juju/errors"

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
	state headState

	statusLine       [statusLineBytes]byte // up to the status
	statusLineLength int                   // bytes of it that have arrived
	isInterim        bool                  // whether another head follows
	isHTTP10         bool                  // whether it is of HTTP/1.0, which has no transfer codings

	name       [len(codingName)]byte // of the current field, in lower case; its beginning if it is longer
	nameLength int                   // of the whole name so far, in bytes
	hasLength  bool                  // whether a field gives the length of the body
	hasCoding  bool                  // whether a field gives a transfer coding
}

// isComplete reports whether the head of the final answer has ended.
func (h *headChecker) isComplete() bool { return h.state == complete }

// check checks the next bytes up to the end of the final head. The error is a
// [*HeadError].
func (h *headChecker) check(data []byte) (err error) {
	for _, b := range data {
		if h.isComplete() {
			return nil
		}
		if err := h.checkByte(b); err != nil {
			return &HeadError{Reason: err.Error()}
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
	case h.hasCoding && h.isHTTP10:
		return errors.New("transfer coding in HTTP/1.0")
	case h.isInterim:
		*h = headChecker{}
	default:
		h.state = complete
	}
	return nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isControl reports whether b is an ASCII control character.
func isControl(b byte) bool { return b < ' ' || b == 0x7f }
