package main

import (
	"os"
	"strings"
	"testing"
)

// TestOperationsPageListsAllSettings fails if the table of settings in
// docs/OPERATIONS.md differs from the declared settings, for example because a
// default or a help text was changed in the code only.
func TestOperationsPageListsAllSettings(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), declareOptions().set.MarkdownTable()) {
		t.Error("docs/OPERATIONS.md does not contain the table that lentilmux --print-settings-table prints")
	}
}
