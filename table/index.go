package table

// Index maps keys to row numbers. When a table removes a row, it moves its last
// row into the gap.
type Index struct {
	rows map[string]int
}

// Find returns the row number of key, or false if the key is not in the index.
func (i *Index) Find(key string) (row int, ok bool) {
	row, ok = i.rows[key]
	return row, ok
}

// put sets the row number of key.
func (i *Index) put(key string, row int) {
	if i.rows == nil {
		i.rows = make(map[string]int)
	}
	i.rows[key] = row
}

// remove removes key and gives its row number to movedKey, the key of the row
// that took its place.
func (i *Index) remove(key, movedKey string) {
	row := i.rows[key]
	delete(i.rows, key)
	if movedKey != key {
		i.rows[movedKey] = row
	}
}
