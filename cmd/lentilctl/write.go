package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"lentilmux.example/lentilmux/operator"
)

// verdict is the JSON of a command's result.
type verdict struct {
	Accepted     bool   `json:"accepted"`
	OutcomeKnown bool   `json:"known"`
	Revision     uint64 `json:"revision"`
	Detail       string `json:"detail"`
}

// write writes a result as a table or as JSON.
func write(w io.Writer, result operator.Result, output string) (err error) {
	switch {
	case output == "json" && result.Columns == nil:
		return json.NewEncoder(w).Encode(verdict{Accepted: result.Accepted, OutcomeKnown: result.OutcomeKnown, Revision: result.Revision, Detail: result.Detail})
	case output == "json":
		return writeRows(w, result)
	case result.Columns == nil:
		_, err = fmt.Fprintln(w, sentence(result))
		return err
	case len(result.Columns) == 1:
		return writeLines(w, result)
	default:
		return writeTable(w, result)
	}
}

// sentence tells what became of a command.
func sentence(result operator.Result) string {
	switch {
	case !result.OutcomeKnown:
		return "unknown: " + result.Detail
	case !result.Accepted:
		return "refused: " + result.Detail
	default:
		return fmt.Sprintf("accepted at revision %d: %s", result.Revision, result.Detail)
	}
}

// writeRows writes each row as an object with the columns in order.
func writeRows(w io.Writer, result operator.Result) (err error) {
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

func writeLines(w io.Writer, result operator.Result) (err error) {
	for _, row := range result.Rows {
		if _, err := fmt.Fprintln(w, row[0]); err != nil {
			return err
		}
	}
	return nil
}

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
