package table

// Index maps keys to row numbers. Removal moves the last row into the gap.
type Index struct {
	rows map[string]int
}

// Find returns the row number of key.
func (x *Index) Find(key string) (row int, ok bool) {
	row, ok = x.rows[key]
	return row, ok
}

// put records that key is in row.
func (x *Index) put(key string, row int) {
	if x.rows == nil {
		x.rows = make(map[string]int)
	}
	x.rows[key] = row
}

// remove forgets key and records that the key last moved to its row.
func (x *Index) remove(key, last string) {
	row := x.rows[key]
	delete(x.rows, key)
	if last != key {
		x.rows[last] = row
	}
}
