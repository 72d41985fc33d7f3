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
	// maxStatus is the highest status that the protocol defines a class for.
	maxStatus = 599
)

// checkStatusLine collects the bytes of the status line up to the status.
func (h *headChecker) checkStatusLine(b byte) (err error) {
	h.statusLine[h.statusLineLength] = b
	h.statusLineLength++
	if h.statusLineLength < statusLineBytes {
		return nil
	}
	h.state = afterStatus
	status, err := parseStatusLine(string(h.statusLine[:]))
	h.isInterim = status < http.StatusOK
	h.isHTTP10 = h.statusLine[len(statusPrefix)] == '0'
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
