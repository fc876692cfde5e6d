package simulation

import (
	"context"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/history"
	"github.com/tillerfall/tillerfall/lab/standin/platformmodel"
)

// Parameters of faults of the table service. lostAfterCommit, lostBeforeCommit and lostDelayedCommit
// are cumulative probabilities that the answer to a commit is lost after the commit took effect,
// without an effect, or with a delayed effect.
const (
	lostAfterCommit   = 0.3
	lostBeforeCommit  = 0.45
	lostDelayedCommit = 0.6
	maxCommitDelay    = 2 * time.Second
	maxStaleness      = 2 * time.Second
	// competingCommandChance is the probability that another operator's command runs between a
	// command's reads and its commit.
	competingCommandChance = 0.15
	// unreachableChance is the probability that a client cannot reach the table service for
	// unreachableDuration after a commit whose answer was lost.
	unreachableChance   = 0.5
	unreachableDuration = 500 * time.Millisecond
	machineLag          = 500 * time.Millisecond
)

// tableService is the platform's table service.
type tableService struct {
	process
	model                            *platformmodel.Platform
	downUntil, lossyUntil, slowUntil time.Duration
	// rowVersions holds the versions of each written row, oldest first.
	rowVersions map[string][]rowVersion
	// revision is that of the last committed configuration.
	revision   fleet.Revision
	directives map[fleet.EngineRun]bool
}

type rowVersion struct {
	at    time.Duration
	row   platform.Row
	found bool
}

func newTableService(w *world) *tableService {
	const address fleet.Address = "10.4.0.1:8400"
	service := &tableService{
		process:     process{world: w, address: address, zone: zones[0]},
		model:       platformmodel.New(platformmodel.Options{MachineLag: machineLag, Rate: platformmodel.Rate{PerSecond: 200, Burst: 100}}),
		rowVersions: make(map[string][]rowVersion),
		directives:  make(map[fleet.EngineRun]bool),
	}
	service.begin()
	return service
}

func (s *tableService) isDown() bool { return s.now() < s.downUntil }

func (s *tableService) isUnreachable(from *process) bool {
	network := s.world.network
	return s.isDown() || network.blockedUntil(from, &s.process) > 0 || network.blockedUntil(&s.process, from) > 0
}

// commit applies a transaction and records the configuration if it is new.
func (s *tableService) commit(transaction platform.Transaction) error {
	if s.world.options.Variant == CommitWithoutCompare {
		transaction.Compares = nil
	}
	if err := s.model.Commit(s.now(), transaction); err != nil {
		return err
	}
	for _, write := range transaction.Writes {
		s.recordVersion(write)
	}
	s.recordConfiguration()
	return nil
}

func (s *tableService) recordVersion(write platform.Write) {
	versions := s.rowVersions[write.Key]
	revision := uint64(1)
	if len(versions) > 0 && versions[len(versions)-1].found {
		revision = versions[len(versions)-1].row.Revision + 1
	}
	row := platform.Row{Key: write.Key, Value: slices.Clone(write.Value), Revision: revision}
	s.rowVersions[write.Key] = append(versions, rowVersion{at: s.now(), row: row, found: !write.Delete})
}

// recordConfiguration records the committed configuration if its revision has changed.
func (s *tableService) recordConfiguration() {
	document, err := config.NewStore(directTables{s}, nil, config.StoreOptions{}).Load(context.Background())
	if err != nil {
		panic(err) // directTables has no faults
	}
	digest := s.world.digest(document)
	if document.Revision == s.revision {
		return
	}
	s.revision = document.Revision
	s.world.record(history.Committed{Revision: document.Revision, Digest: digest})
	s.recordDirectives(document)
}

// recordDirectives records the engines that operators started or stopped draining or retiring.
func (s *tableService) recordDirectives(document config.Document) {
	directed := make(map[fleet.EngineRun]bool)
	for _, directive := range document.Directives {
		run := fleet.EngineRun{Engine: directive.Engine, Incarnation: directive.Incarnation}
		if directive.Kind == config.DirectiveRole || directed[run] {
			continue
		}
		directed[run] = true
		if !s.directives[run] {
			s.world.record(history.EngineLeaving{Run: run, Source: history.OperatorSource})
		}
	}
	for _, host := range s.world.engines {
		if run := host.currentRun(); s.directives[run] && !directed[run] {
			s.world.record(history.EngineAdmitted{Run: run})
		}
	}
	s.directives = directed
}

// commitInitial commits the configuration that the fleet starts with.
func (s *tableService) commitInitial(document config.Document) {
	store := config.NewStore(directTables{s}, nil, config.StoreOptions{Random: s.world.newRandom()})
	_, err := store.Commit(context.Background(), config.CommitRequest{
		Token: "first", Mutate: func(config.Document) (config.Document, error) { return document, nil },
	})
	if err != nil {
		panic(err) // no faults are active yet
	}
}

// read returns a row as of a time.
func (s *tableService) read(key string, at time.Duration) (platform.Row, error) {
	versions := s.rowVersions[key]
	for _, version := range slices.Backward(versions) {
		if version.at > at {
			continue
		}
		if !version.found {
			break
		}
		return version.row, nil
	}
	return platform.Row{}, platform.ErrNotFound
}

// serveRead answers an election's read.
func (s *tableService) serveRead(key string, reply func(any) time.Duration) {
	if s.isDown() {
		reply(tableAnswer{err: platform.ErrUnavailable})
		return
	}
	row, err := s.read(key, s.now())
	reply(tableAnswer{row: row, err: err})
}

// serveCommit answers an election's commit, unless the answer is lost.
func (s *tableService) serveCommit(transaction platform.Transaction, reply func(any) time.Duration) {
	if s.isDown() {
		reply(tableAnswer{err: platform.ErrUnavailable})
		return
	}
	if err := s.commitLossy(transaction); err != platform.ErrUnknownOutcome {
		reply(tableAnswer{err: err})
	}
}

// commitLossy commits a transaction. While the service is lossy, the answer may be lost, and the
// transaction may take effect, take effect late or not at all.
func (s *tableService) commitLossy(transaction platform.Transaction) error {
	if s.now() >= s.lossyUntil {
		return s.commit(transaction)
	}
	switch draw := s.world.random.Float64(); {
	case draw < lostAfterCommit:
		_ = s.commit(transaction)
	case draw < lostBeforeCommit:
	case draw < lostDelayedCommit:
		s.after(time.Duration(s.world.random.Int64N(int64(maxCommitDelay))), func() { _ = s.commit(transaction) })
	default:
		return s.commit(transaction)
	}
	return platform.ErrUnknownOutcome
}

// tableClient is a process's client of the table service. Reads may be stale but never go back in
// time.
type tableClient struct {
	world      *world
	from       *process
	lastReadAt time.Duration
	// unreachableUntil is when the service can be reached again after a lost answer.
	unreachableUntil time.Duration
}

var _ platform.Tables = (*tableClient)(nil)

func (t *tableClient) isUnreachable() bool {
	return t.world.tables.isUnreachable(t.from) || t.world.queue.Now() < t.unreachableUntil
}

// readAt returns the time as of which a read sees the tables.
func (t *tableClient) readAt() time.Duration {
	now := t.world.queue.Now()
	if now < t.world.tables.slowUntil {
		now -= time.Duration(t.world.random.Int64N(int64(maxStaleness)))
	}
	t.lastReadAt = max(t.lastReadAt, now)
	return t.lastReadAt
}

// Get implements platform.Tables.
func (t *tableClient) Get(_ context.Context, key string) (platform.Row, error) {
	if t.isUnreachable() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return t.world.tables.read(key, t.readAt())
}

// List implements platform.Tables.
func (t *tableClient) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	service := t.world.tables
	if t.isUnreachable() {
		return nil, platform.ErrUnavailable
	}
	return service.model.List(service.now(), prefix, after, limit)
}

// Commit implements platform.Tables.
func (t *tableClient) Commit(_ context.Context, transaction platform.Transaction) error {
	service := t.world.tables
	if t.isUnreachable() {
		return platform.ErrUnavailable
	}
	t.world.runCompetingCommand(t.from)
	err := service.commitLossy(transaction)
	if err == platform.ErrUnknownOutcome && t.world.random.Float64() < unreachableChance {
		t.unreachableUntil = service.now() + unreachableDuration
	}
	return err
}

// directTables accesses the table service without faults.
type directTables struct{ service *tableService }

var _ platform.Tables = directTables{}

// Get implements platform.Tables.
func (t directTables) Get(_ context.Context, key string) (platform.Row, error) {
	return t.service.read(key, t.service.now())
}

// List implements platform.Tables.
func (t directTables) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	return t.service.model.List(t.service.now(), prefix, after, limit)
}

// Commit implements platform.Tables.
func (t directTables) Commit(_ context.Context, transaction platform.Transaction) error {
	return t.service.commit(transaction)
}
