package workload_test

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// assertGolden compares text with the golden file of a name.
func assertGolden(t *testing.T, name, text string) {
	t.Helper()
	goldie.New(t).Assert(t, name, []byte(text))
}
