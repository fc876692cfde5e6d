package platformmodel

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/platform"
)

// Get returns a row, platform.ErrNotFound or platform.ErrRateLimited.
func (p *Platform) Get(now time.Duration, key string) (platform.Row, error) {
	if !p.limit.allow(now) {
		return platform.Row{}, platform.ErrRateLimited
	}
	row, found := p.rows[key]
	if !found {
		return platform.Row{}, platform.ErrNotFound
	}
	return cloneRow(row), nil
}

// List returns up to limit rows whose key has the prefix and sorts behind after, in order of key.
// The limit is at most platform.MaxListRows; 0 or less selects it. The error is
// platform.ErrRateLimited.
func (p *Platform) List(now time.Duration, prefix, after string, limit int) ([]platform.Row, error) {
	if !p.limit.allow(now) {
		return nil, platform.ErrRateLimited
	}
	if limit <= 0 || limit > platform.MaxListRows {
		limit = platform.MaxListRows
	}
	first, _ := slices.BinarySearch(p.keys, max(prefix, after))
	var rows []platform.Row
	for _, key := range p.keys[first:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if after == "" || key > after {
			rows = append(rows, cloneRow(p.rows[key]))
		}
	}
	return rows, nil
}

// Commit applies a transaction, or returns platform.ErrConflict, platform.ErrInvalid or
// platform.ErrRateLimited without any effect.
func (p *Platform) Commit(now time.Duration, transaction platform.Transaction) error {
	if !p.limit.allow(now) {
		return platform.ErrRateLimited
	}
	if err := checkTransaction(transaction); err != nil {
		return err
	}
	for _, compare := range transaction.Compares {
		if p.rows[compare.Key].Revision != compare.Revision {
			return errors.Wrapf(platform.ErrConflict, "row %q is at revision %d", compare.Key, p.rows[compare.Key].Revision)
		}
	}
	for _, write := range transaction.Writes {
		p.apply(write)
	}
	return nil
}

func (p *Platform) apply(write platform.Write) {
	index, found := slices.BinarySearch(p.keys, write.Key)
	if write.Delete {
		if found {
			p.keys = slices.Delete(p.keys, index, index+1)
			delete(p.rows, write.Key)
		}
		return
	}
	if !found {
		p.keys = slices.Insert(p.keys, index, write.Key)
	}
	p.rows[write.Key] = platform.Row{
		Key:      write.Key,
		Value:    slices.Clone(write.Value),
		Revision: p.rows[write.Key].Revision + 1,
	}
}

// checkTransaction rejects empty keys, and rows that are written twice, because their value would
// depend on the order of the writes.
func checkTransaction(transaction platform.Transaction) error {
	written := make(map[string]bool, len(transaction.Writes))
	for _, write := range transaction.Writes {
		if write.Key == "" || written[write.Key] {
			return errors.Wrapf(platform.ErrInvalid, "write of key %q", write.Key)
		}
		written[write.Key] = true
	}
	for _, compare := range transaction.Compares {
		if compare.Key == "" {
			return errors.Wrap(platform.ErrInvalid, "compare of an empty key")
		}
	}
	return nil
}

func cloneRow(row platform.Row) platform.Row {
	row.Value = slices.Clone(row.Value)
	return row
}
