package main

import (
	"os"
	"strings"
	"testing"
)

// TestOperationsPageHasTheSettings keeps the table of the operators' page equal
// to the declared settings.
func TestOperationsPageHasTheSettings(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), declare().set.MarkdownTable()) {
		t.Error("docs/OPERATIONS.md lacks the table that lentilmux --print-settings-table prints")
	}
}
