package config

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// Commits delete expired outcomes in sweeps. Every sweepInterval revisions a commit lists up to
// sweepPageSize command rows, which costs one more table call.
const (
	sweepInterval = 16
	sweepPageSize = 64
)

// transactionBuilder builds a transaction and keeps the first encoding error.
type transactionBuilder struct {
	transaction platform.Transaction
	err         error
}

func (b *transactionBuilder) compare(key string, revision uint64) {
	b.transaction.Compares = append(b.transaction.Compares, platform.Compare{Key: key, Revision: revision})
}

func (b *transactionBuilder) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil && b.err == nil {
		b.err = errors.Wrapf(err, "encode %s", key)
	}
	b.transaction.Writes = append(b.transaction.Writes, platform.Write{Key: key, Value: encoded})
}

func (b *transactionBuilder) delete(key string) {
	b.transaction.Writes = append(b.transaction.Writes, platform.Write{Key: key, Delete: true})
}

// expiredKeys returns the keys of the rows to delete in the commit of a revision.
func (s *Store) expiredKeys(ctx context.Context, revision fleet.Revision) []string {
	var keys []string
	if uint64(revision) > s.options.KeptChanges {
		keys = append(keys, changeKey(revision-fleet.Revision(s.options.KeptChanges)))
	}
	if revision%sweepInterval == 0 && uint64(revision) > s.options.KeptOutcomes {
		keys = append(keys, s.expiredOutcomes(ctx, revision-fleet.Revision(s.options.KeptOutcomes))...)
	}
	return keys
}

// expiredOutcomes continues the sweep of command rows and returns the keys of outcomes recorded
// before the oldest revision to keep. If the rows can't be listed it returns nothing, and the next
// sweep starts at the same key.
func (s *Store) expiredOutcomes(ctx context.Context, oldest fleet.Revision) []string {
	s.mutex.Lock()
	after := s.sweepCursor
	s.mutex.Unlock()
	rows, err := s.tables.List(ctx, prefixCommand, after, sweepPageSize)
	if err != nil {
		return nil
	}
	next := ""
	if len(rows) == sweepPageSize {
		next = rows[len(rows)-1].Key
	}
	s.mutex.Lock()
	s.sweepCursor = next
	s.mutex.Unlock()
	var keys []string
	for _, row := range rows {
		var outcome Outcome
		if json.Unmarshal(row.Value, &outcome) == nil && outcome.Revision < oldest {
			keys = append(keys, row.Key)
		}
	}
	return keys
}
