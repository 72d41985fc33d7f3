package http1

import (
	"fmt"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux/standin"
)

// checkWhole checks an answer in one piece and describes the result.
func checkWhole(answer string) string {
	var head headChecker
	return describeCheck(&head, head.check([]byte(answer)))
}

// checkBytes checks an answer byte by byte and describes the result.
func checkBytes(answer string) string {
	var head headChecker
	for i := range len(answer) {
		if err := head.check([]byte{answer[i]}); err != nil {
			return describeCheck(&head, err)
		}
	}
	return describeCheck(&head, nil)
}

// describeCheck describes the state of a check that ended with err.
func describeCheck(head *headChecker, err error) string {
	switch {
	case err != nil && !errors.Is(err, ErrMalformedHead):
		return "another error: " + err.Error()
	case err != nil:
		return err.Error()
	case head.isComplete():
		return "sound"
	default:
		return "incomplete"
	}
}

// TestHeads compares with the golden file what is found wrong in the heads of a
// stand-in. It guards against a malformed head that passes, a sound one that does not,
// and a result that depends on how the bytes arrive.
func TestHeads(t *testing.T) {
	var out strings.Builder
	for _, head := range standin.RawHeads {
		answer := head.Answer("")
		result := checkWhole(answer)
		fmt.Fprintf(&out, "%s: %s\n", head.Name, result)
		if (result == "sound") != head.Sound {
			t.Errorf("%s: %s, expected sound to be %t", head.Name, result, head.Sound)
		}
		if byBytes := checkBytes(answer); byBytes != result {
			t.Errorf("%s: %s, but byte by byte %s", head.Name, result, byBytes)
		}
	}
	goldie.New(t).Assert(t, "heads", []byte(out.String()))
}

// TestTornHeads guards against a head that counts as complete before its empty line.
func TestTornHeads(t *testing.T) {
	for _, head := range standin.RawHeads {
		text := strings.TrimSuffix(head.Answer(""), "OK")
		for length := range len(text) {
			if result := checkWhole(text[:length]); result == "sound" {
				t.Errorf("%s: %q counts as a whole head", head.Name, text[:length])
			}
		}
	}
}
