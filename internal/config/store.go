package config

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// Default values of StoreOptions.
const (
	DefaultDocumentRowLimit = 256 << 10
	DefaultKeptChanges      = 1024
	DefaultKeptOutcomes     = 4096
	DefaultCommitAttempts   = 8
	DefaultBackoffBase      = 50 * time.Millisecond
	DefaultBackoffMax       = 2 * time.Second
)

// StoreOptions configures a Store. Zero fields take their default values.
type StoreOptions struct {
	// DocumentRowLimit is the size in bytes above which a document is stored in the object store.
	DocumentRowLimit int
	// KeptChanges is the number of latest changes to retain in the table service.
	KeptChanges uint64
	// KeptOutcomes is the number of revisions for which a command's outcome is retained. After that
	// the outcome can no longer be looked up, and a command with the same token is a new one.
	KeptOutcomes uint64
	// CommitAttempts bounds the transactions that one call of Commit tries.
	CommitAttempts int
	// BackoffBase and BackoffMax bound the delay between attempts. It is drawn uniformly up to a
	// bound that doubles with each attempt ("full jitter" in Brooker, Exponential Backoff and
	// Jitter, 2015).
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// Random draws the delays; nil means a generator with a random seed.
	Random *rand.Rand
	// Sleep waits for the delay or returns the context's error; nil means to use a timer.
	Sleep func(ctx context.Context, pause time.Duration) error
}

func (o *StoreOptions) setDefaults() {
	setDefault(&o.DocumentRowLimit, DefaultDocumentRowLimit)
	setDefault(&o.KeptChanges, DefaultKeptChanges)
	setDefault(&o.KeptOutcomes, DefaultKeptOutcomes)
	setDefault(&o.CommitAttempts, DefaultCommitAttempts)
	setDefault(&o.BackoffBase, DefaultBackoffBase)
	setDefault(&o.BackoffMax, DefaultBackoffMax)
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
}

func setDefault[Value comparable](target *Value, value Value) {
	var zero Value
	if *target == zero {
		*target = value
	}
}

func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Store keeps the configuration in the table service. Each commit writes the document, the head,
// the change and the command's outcome in one transaction that compares the revision of the
// document's row. Its methods may be called from any goroutine.
type Store struct {
	tables  platform.Tables
	objects platform.Objects
	options StoreOptions

	mutex sync.Mutex // guards options.Random and sweepCursor
	// sweepCursor is the key after which the next sweep for expired outcomes starts.
	sweepCursor string
}

// NewStore returns a store. If objects is nil, documents of any size are stored in the table
// service.
func NewStore(tables platform.Tables, objects platform.Objects, options StoreOptions) *Store {
	options.setDefaults()
	return &Store{tables: tables, objects: objects, options: options}
}

// Load returns the committed document. If there is none, it returns the empty document of revision
// 0.
func (s *Store) Load(ctx context.Context) (Document, error) {
	document, _, err := s.readDocument(ctx)
	return document, err
}

// readDocument returns the document and the revision of its row.
func (s *Store) readDocument(ctx context.Context) (Document, uint64, error) {
	row, err := s.tables.Get(ctx, keyDocument)
	if errors.Is(err, platform.ErrNotFound) {
		return Document{}, 0, nil
	}
	if err != nil {
		return Document{}, 0, errors.Wrap(err, "read configuration")
	}
	var stored documentRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return Document{}, 0, errors.Wrap(err, "decode configuration")
	}
	if stored.Object == "" {
		return stored.Document, row.Revision, nil
	}
	document, err := s.readObject(ctx, stored.Object)
	return document, row.Revision, err
}

func (s *Store) readObject(ctx context.Context, name string) (Document, error) {
	if s.objects == nil {
		return Document{}, errors.New("the configuration is in the object store, which isn't configured")
	}
	body, err := s.objects.GetObject(ctx, name)
	if err != nil {
		return Document{}, errors.Wrap(err, "read configuration object")
	}
	var document Document
	if err := json.Unmarshal(body, &document); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration object")
	}
	return document, nil
}

// LoadChanges returns up to MaxLoggedChanges changes after a revision. It returns ErrRevisionGap if
// the next change is no longer retained, or the changes are too large for one page; the caller should then use Load.
func (s *Store) LoadChanges(ctx context.Context, after fleet.Revision) ([]Change, error) {
	rows, err := s.tables.List(ctx, prefixChange, changeKey(after), MaxLoggedChanges)
	if errors.Is(err, platform.ErrTooLarge) {
		return nil, ErrRevisionGap
	}
	if err != nil {
		return nil, errors.Wrap(err, "list changes")
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		var change Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			return nil, errors.Wrapf(err, "decode %s", row.Key)
		}
		if change.Revision != after+fleet.Revision(len(changes))+1 {
			return nil, ErrRevisionGap
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// Lookup returns the recorded outcome of a command, or false if there is none: the command has had
// no effect so far, but may still take effect while it is in flight.
func (s *Store) Lookup(ctx context.Context, token string) (Outcome, bool, error) {
	row, err := s.tables.Get(ctx, commandKey(token))
	if errors.Is(err, platform.ErrNotFound) {
		return Outcome{}, false, nil
	}
	if err != nil {
		return Outcome{}, false, errors.Wrap(err, "look command up")
	}
	var outcome Outcome
	if err := json.Unmarshal(row.Value, &outcome); err != nil {
		return Outcome{}, false, errors.Wrap(err, "decode outcome")
	}
	return outcome, true, nil
}

// Refresh updates a holder to the committed revision and reports whether the holder changed. It
// takes one call if the holder is current, or one change behind and the head row includes the
// change.
func (s *Store) Refresh(ctx context.Context, holder *Holder) (bool, error) {
	row, err := s.tables.Get(ctx, keyHead)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "read head")
	}
	var head headRow
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return false, errors.Wrap(err, "decode head")
	}
	current := holder.Revision()
	if head.Revision <= current {
		return false, nil
	}
	if s.refreshByChanges(ctx, holder, current, head) {
		return true, nil
	}
	document, err := s.Load(ctx)
	if err != nil {
		return false, err
	}
	return holder.OfferSnapshot(document)
}

// refreshByChanges reports whether changes alone brought the holder to the head's revision.
func (s *Store) refreshByChanges(ctx context.Context, holder *Holder, current fleet.Revision, head headRow) bool {
	if current == 0 {
		return false
	}
	changes := []Change{head.Change}
	if head.Change.Revision != current+1 {
		loaded, err := s.LoadChanges(ctx, current)
		if err != nil {
			return false
		}
		changes = loaded
	}
	if _, _, err := holder.OfferChanges(changes); err != nil {
		return false
	}
	return holder.Revision() >= head.Revision
}
