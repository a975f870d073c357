package rocktable

import "iter"

// Table holds rows by key and iterates over them in an order that depends only on the sequence of calls.
type Table[K comparable, T any] struct {
	keys  []K
	rows  []*T
	index map[K]int
}

// Len returns the number of rows.
func (t *Table[K, T]) Len() int { return len(t.keys) }

// Get returns the row of the key, or nil if there is none.
func (t *Table[K, T]) Get(key K) *T {
	i, ok := t.index[key]
	if !ok {
		return nil
	}
	return t.rows[i]
}

// Put stores a row under the key, replacing any earlier one, and returns a pointer that stays valid until Delete.
func (t *Table[K, T]) Put(key K, row T) *T {
	if t.index == nil {
		t.index = make(map[K]int)
	}
	if i, ok := t.index[key]; ok {
		*t.rows[i] = row
		return t.rows[i]
	}
	t.index[key] = len(t.keys)
	t.keys = append(t.keys, key)
	t.rows = append(t.rows, &row)
	return &row
}

// GetOrPut returns the row of the key, after storing a zero row if there is none.
func (t *Table[K, T]) GetOrPut(key K) *T {
	if row := t.Get(key); row != nil {
		return row
	}
	var zero T
	return t.Put(key, zero)
}

// Delete removes the row of the key, if any; the last row takes its place in the order.
func (t *Table[K, T]) Delete(key K) {
	i, ok := t.index[key]
	if !ok {
		return
	}
	last := len(t.keys) - 1
	t.keys[i], t.rows[i] = t.keys[last], t.rows[last]
	t.index[t.keys[i]] = i
	t.rows[last] = nil
	t.keys, t.rows = t.keys[:last], t.rows[:last]
	delete(t.index, key)
}

// All iterates over keys and rows; the loop body may delete the current row and no other.
func (t *Table[K, T]) All() iter.Seq2[K, *T] {
	return func(yield func(K, *T) bool) {
		// Iterating backwards, Delete of the current row moves only a row that was already visited.
		for i := len(t.keys) - 1; i >= 0; i-- {
			if !yield(t.keys[i], t.rows[i]) {
				return
			}
		}
	}
}
