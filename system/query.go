package system

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/table"
)

// Query answers the queries and status requests of this tick, after all other
// systems have run. It reads every table and writes none.
type Query struct{}

// Run implements [System].
func (s *Query) Run(t *table.Tables, now time.Time) {
	for _, event := range t.Events.Queries {
		t.Answer(event.CorrelationID, s.selectRows(t, now, event.Query))
	}
	for _, correlationID := range t.Events.StatusRequests {
		t.Answer(correlationID, s.status(t, now))
	}
}

func (s *Query) status(t *table.Tables, now time.Time) lentilmux.StatusAnswer {
	status := lentilmux.StatusAnswer{
		Ready: t.Self.Ready, Reason: t.Self.NotReadyReason, Revision: t.Self.Revision,
		Upstreams: len(t.Upstreams.Rows), Now: now,
	}
	for i := range t.Requests.Rows {
		if t.Requests.Rows[i].State == table.RequestRunning {
			status.Running++
		} else {
			status.Queued++
		}
	}
	for i := range t.Pipelines.Rows {
		p := &t.Pipelines.Rows[i]
		status.Models = append(status.Models, p.Spec.Model)
	}
	return status
}

// selectRows returns the rows that a query selects, or an error that names the
// nearest table or column.
func (s *Query) selectRows(t *table.Tables, now time.Time, q lentilmux.Query) lentilmux.QueryAnswer {
	v, ok := views[q.Table]
	if !ok {
		return lentilmux.QueryAnswer{
			Err:         fmt.Sprintf("there is no table %q; the nearest is %q", q.Table, ClosestName(q.Table, TableNames())),
			UnknownName: q.Table,
		}
	}
	rows := v.rows(t, now)
	columns := v.columns
	for _, condition := range q.Where {
		column, err := findColumn(columns, condition.Column)
		if err != "" {
			return lentilmux.QueryAnswer{Err: err, UnknownName: condition.Column}
		}
		rows = filterRows(rows, column, condition)
	}
	if q.OrderBy != "" {
		column, err := findColumn(columns, q.OrderBy)
		if err != "" {
			return lentilmux.QueryAnswer{Err: err, UnknownName: q.OrderBy}
		}
		sortRows(rows, column, q.Desc)
	}
	if q.Limit > 0 && len(rows) > q.Limit {
		rows = rows[:q.Limit]
	}
	return lentilmux.QueryAnswer{Columns: columns, Rows: rows}
}

// findColumn returns the index of a column, or an error text that names the
// nearest column.
func findColumn(columns []string, name string) (column int, err string) {
	for i, c := range columns {
		if c == name {
			return i, ""
		}
	}
	return 0, fmt.Sprintf("there is no column %q; the nearest is %q", name, ClosestName(name, columns))
}

// filterRows returns the rows whose cell in the column satisfies the condition.
func filterRows(rows [][]string, column int, c lentilmux.Condition) (matching [][]string) {
	for _, row := range rows {
		if satisfies(compare(row[column], c.Value), c.Op) {
			matching = append(matching, row)
		}
	}
	return matching
}

// satisfies reports whether the result of [compare] satisfies the operator.
func satisfies(result int, op string) bool {
	switch op {
	case "=":
		return result == 0
	case "!=":
		return result != 0
	case "<":
		return result < 0
	case "<=":
		return result <= 0
	case ">":
		return result > 0
	default:
		return result >= 0
	}
}

// compare compares two cells as numbers if both are numbers, and as text
// otherwise.
func compare(a, b string) int {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	if errX != nil || errY != nil {
		return strings.Compare(a, b)
	}
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return 0
	}
}

func sortRows(rows [][]string, column int, desc bool) {
	sort.SliceStable(rows, func(i, j int) bool {
		if desc {
			i, j = j, i
		}
		return compare(rows[i][column], rows[j][column]) < 0
	})
}

// ClosestName returns the name with the smallest edit distance to word, or an
// empty string if there are no names.
func ClosestName(word string, names []string) (nearest string) {
	best := -1
	for _, name := range names {
		if d := editDistance(word, name); best < 0 || d < best {
			best, nearest = d, name
		}
	}
	return nearest
}

// editDistance returns the Levenshtein distance between two words.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(row[j]+1, row[j-1]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
