package config

import (
	"context"
	"encoding/json"
	"sort"
	"strings"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// fault is a failure that the fake table service injects into a call.
type fault int

const (
	faultNone fault = iota
	faultRefused
	faultUnavailable
	faultLostBefore // outcome unknown, no effect
	faultLostAfter  // outcome unknown, after the effect
	faultDelayed    // outcome unknown, effect at a later call
	faultKinds
)

// fakeTables is an in-memory table and object service. It is not safe for concurrent use: tests
// simulate races with interrupt, which runs before each call.
type fakeTables struct {
	rows      map[string]platform.Row
	objects   map[string][]byte
	delayed   []platform.Transaction
	nextFault func() fault
	interrupt func()
	// deliversDelayed reports whether delayed transactions take effect before a call.
	deliversDelayed func() bool
	calls           int
	// revisions are the revisions of the heads in the order of writing.
	revisions []fleet.Revision
}

func newFakeTables() *fakeTables {
	return &fakeTables{
		rows:            make(map[string]platform.Row),
		objects:         make(map[string][]byte),
		nextFault:       func() fault { return faultNone },
		interrupt:       func() {},
		deliversDelayed: func() bool { return true },
	}
}

func (f *fakeTables) begin() fault {
	f.calls++
	f.interrupt()
	if f.deliversDelayed() {
		f.deliverDelayed()
	}
	return f.nextFault()
}

func (f *fakeTables) deliverDelayed() {
	delayed := f.delayed
	f.delayed = nil
	for _, transaction := range delayed {
		_ = f.apply(transaction)
	}
}

func readError(fault fault) error {
	switch fault {
	case faultNone:
		return nil
	case faultRefused:
		return platform.ErrRateLimited
	default:
		return platform.ErrUnavailable
	}
}

func (f *fakeTables) Get(_ context.Context, key string) (platform.Row, error) {
	if err := readError(f.begin()); err != nil {
		return platform.Row{}, err
	}
	row, found := f.rows[key]
	if !found {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakeTables) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := readError(f.begin()); err != nil {
		return nil, err
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	return rows[:min(limit, len(rows))], nil
}

func (f *fakeTables) Commit(_ context.Context, transaction platform.Transaction) error {
	switch f.begin() {
	case faultRefused:
		return platform.ErrRateLimited
	case faultUnavailable:
		return platform.ErrUnavailable
	case faultLostBefore:
		return platform.ErrUnknownOutcome
	case faultLostAfter:
		_ = f.apply(transaction)
		return platform.ErrUnknownOutcome
	case faultDelayed:
		f.delayed = append(f.delayed, transaction)
		return platform.ErrUnknownOutcome
	}
	return f.apply(transaction)
}

func (f *fakeTables) apply(transaction platform.Transaction) error {
	for _, compare := range transaction.Compares {
		if f.rows[compare.Key].Revision != compare.Revision {
			return platform.ErrConflict
		}
	}
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(f.rows, write.Key)
			continue
		}
		revision := f.rows[write.Key].Revision + 1
		f.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: revision}
		if write.Key == keyHead {
			var head headRow
			_ = json.Unmarshal(write.Value, &head)
			f.revisions = append(f.revisions, head.Revision)
		}
	}
	return nil
}

func (f *fakeTables) GetObject(_ context.Context, name string) ([]byte, error) {
	if err := readError(f.begin()); err != nil {
		return nil, err
	}
	body, found := f.objects[name]
	if !found {
		return nil, platform.ErrNotFound
	}
	return body, nil
}

func (f *fakeTables) PutObject(_ context.Context, name string, body []byte) error {
	if err := readError(f.begin()); err != nil {
		return err
	}
	f.objects[name] = body
	return nil
}
