package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"lentilmux.example/lentilmux/operator"
)

// commandResult is the result of a command in the JSON output.
type commandResult struct {
	Accepted     bool   `json:"accepted"`
	OutcomeKnown bool   `json:"known"`
	Revision     uint64 `json:"revision"`
	Detail       string `json:"detail"`
}

// writeResult writes a result in the given output format: a table, or JSON with
// one object per line. Commands have no columns and are written as one sentence
// or one object.
func writeResult(w io.Writer, result operator.Result, output string) (err error) {
	switch {
	case output == "json" && result.Columns == nil:
		return json.NewEncoder(w).Encode(commandResult{Accepted: result.Accepted, OutcomeKnown: result.OutcomeKnown, Revision: result.Revision, Detail: result.Detail})
	case output == "json":
		return writeJSONRows(w, result)
	case result.Columns == nil:
		_, err = fmt.Fprintln(w, commandSummary(result))
		return err
	case len(result.Columns) == 1:
		return writeSingleColumn(w, result)
	default:
		return writeTable(w, result)
	}
}

// commandSummary returns a line that says whether a command was accepted.
func commandSummary(result operator.Result) string {
	switch {
	case !result.OutcomeKnown:
		return "unknown: " + result.Detail
	case !result.Accepted:
		return "refused: " + result.Detail
	default:
		return fmt.Sprintf("accepted at revision %d: %s", result.Revision, result.Detail)
	}
}

// writeJSONRows writes each row as a JSON object on its own line. Unlike a map,
// it keeps the order of the columns.
func writeJSONRows(w io.Writer, result operator.Result) (err error) {
	for _, row := range result.Rows {
		var object strings.Builder
		object.WriteString("{")
		for i, cell := range row {
			if i > 0 {
				object.WriteString(",")
			}
			name, err := json.Marshal(result.Columns[i])
			if err != nil {
				return err
			}
			value, err := json.Marshal(cell)
			if err != nil {
				return err
			}
			object.WriteString(string(name) + ":" + string(value))
		}
		if _, err := fmt.Fprintln(w, object.String()+"}"); err != nil {
			return err
		}
	}
	return nil
}

// writeSingleColumn writes the cells of a single column, one per line without a
// header.
func writeSingleColumn(w io.Writer, result operator.Result) (err error) {
	for _, row := range result.Rows {
		if _, err := fmt.Fprintln(w, row[0]); err != nil {
			return err
		}
	}
	return nil
}

// writeTable writes the rows in aligned columns under a header.
func writeTable(w io.Writer, result operator.Result) (err error) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(table, strings.ToUpper(strings.Join(result.Columns, "\t"))); err != nil {
		return err
	}
	for _, row := range result.Rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return table.Flush()
}
