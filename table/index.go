package table

// Index maps keys to row numbers. Removal moves the last row into the gap.
type Index struct {
	rows map[string]int
}

// Find returns the row number of key.
func (i *Index) Find(key string) (row int, ok bool) {
	row, ok = i.rows[key]
	return row, ok
}

// put records that key is in row.
func (i *Index) put(key string, row int) {
	if i.rows == nil {
		i.rows = make(map[string]int)
	}
	i.rows[key] = row
}

// remove forgets key and records that the key last moved to its row.
func (i *Index) remove(key, movedKey string) {
	row := i.rows[key]
	delete(i.rows, key)
	if movedKey != key {
		i.rows[movedKey] = row
	}
}
