package router

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/fleetsync"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

const (
	// maxMissedReads is the number of intervals without a successful read after
	// which a reader's list counts as out of date.
	maxMissedReads = 5
	// followsPerRead is how often a follower asks its reader in the time between
	// two reads: the two pauses add up.
	followsPerRead = 2
	// confirmationExchanges is the number of exchanges with a new reader until its list
	// counts as at least as new as the former reader's.
	confirmationExchanges = 2
	// maxReaderWaits is how often in a row a follower waits for readers that answer but
	// haven't read yet, as in a herd that restarts, before it reads itself.
	maxReaderWaits = 2
)

// errNotReader means that a router answered that it doesn't read the list.
var errNotReader = errors.New("router doesn't read the list of machines")

// machineFollower keeps the list of machines up to date: a few routers of each
// region read the platform's, the others follow one of these and get changes.
// A router that finds no reader reads itself. Only the polling goroutine calls
// refresh.
type machineFollower struct {
	router     *Router
	subscriber fleetsync.Subscriber
	// publisher answers routers that follow this one.
	publisher *fleetsync.Publisher
	// followed is the router that is followed, exchanges how many there were with it.
	followed    fleet.NodeID
	exchanges   int
	readerWaits int
	// readAt is when the platform last gave its list, in nanoseconds of the
	// router's clock; 0 means never.
	readAt atomic.Int64
}

func newMachineFollower(r *Router) *machineFollower {
	return &machineFollower{router: r, publisher: fleetsync.NewPublisher(r.node)}
}

// refresh brings the list up to date, from the platform or a reader. A reader
// that the platform doesn't answer follows another.
func (m *machineFollower) refresh() error {
	readers := fleetsync.Readers(m.router.options.Settings.Node.Region, m.router.peers.View().Routable())
	others := slices.DeleteFunc(slices.Clone(readers), func(member membership.Member) bool {
		return member.Node == m.router.node
	})
	if len(others) < len(readers) {
		return m.readOrFollow(others)
	}
	err := m.followAny(others)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errNotReader) && m.readerWaits < maxReaderWaits:
		m.readerWaits++
		return nil
	default:
		return m.readPlatform()
	}
}

func (m *machineFollower) readOrFollow(others []membership.Member) error {
	err := m.readPlatform()
	if err != nil && m.followAny(others) == nil {
		m.router.metrics.platformErrors.WithLabelValues("machines").Inc()
		return nil
	}
	return err
}

// followAny follows the first of the readers that answers with a current list.
// It fails with errNotReading if one of them answered.
func (m *machineFollower) followAny(readers []membership.Member) error {
	failed := errors.New("no other router reads the list of machines")
	for _, reader := range m.orderReaders(readers) {
		err := m.follow(reader)
		if err == nil {
			return nil
		}
		m.router.logger.Debug().Str("reader", string(reader.Node)).Err(err).Msg("machine_follow_failed")
		if !errors.Is(failed, errNotReader) {
			failed = err
		}
	}
	return failed
}

// orderReaders returns readers with the one that is followed first. A router that
// follows none begins with any, so that their followers are about as many.
func (m *machineFollower) orderReaders(readers []membership.Member) []membership.Member {
	first := slices.IndexFunc(readers, func(member membership.Member) bool { return member.Node == m.followed })
	if first < 0 && len(readers) > 0 {
		first = newRandom().IntN(len(readers))
	}
	first = max(first, 0)
	return append(slices.Clone(readers[first:]), readers[:first]...)
}

// readPlatform reads the platform's list.
func (m *machineFollower) readPlatform() error {
	ctx, cancel := context.WithTimeout(m.router.tomb.Context(context.Background()), time.Duration(m.router.options.Settings.Platform.Timeout))
	defer cancel()
	machines, err := m.router.options.Machines.ListMachines(ctx)
	if err != nil {
		return err
	}
	m.followed = ""
	m.readerWaits = 0
	m.router.machines.setFromPlatform(machines)
	m.readAt.Store(int64(max(m.router.clock.Now(), 1)))
	return nil
}

// isCurrent tells whether the list was lately read from the platform by this
// router itself. A list that came from a reader isn't passed on: two routers that
// each take the other for a reader would follow each other.
func (m *machineFollower) isCurrent() bool {
	readAt := time.Duration(m.readAt.Load())
	settings := m.router.options.Settings
	longest := maxMissedReads*time.Duration(settings.MachineInterval) + time.Duration(settings.Platform.Timeout)
	return readAt > 0 && m.router.clock.Now()-readAt <= longest
}

// interval returns the mean time from one refresh to the next.
func (m *machineFollower) interval() time.Duration {
	interval := time.Duration(m.router.options.Settings.MachineInterval)
	if m.followed != "" || m.readerWaits > 0 {
		interval /= followsPerRead
	}
	return interval
}

// follow asks a reader for what has changed.
func (m *machineFollower) follow(reader membership.Member) error {
	ctx, cancel := context.WithTimeout(m.router.tomb.Context(context.Background()), peerTimeout)
	defer cancel()
	held := &rpc.SyncRequest{}
	m.subscriber.FillRequest(held)
	answer, err := m.router.fetcher.client(reader).Changes(ctx, &rpc.ChangesRequest{
		Header:             m.router.header(),
		After:              uint64(m.router.holder.Revision()),
		MachinesFollowed:   true,
		MachinesVersionsOf: held.GetVersionsOf(),
		MachinesVersion:    held.GetMachinesVersion(),
		MachinesDigest:     held.GetMachinesDigest(),
	})
	if err != nil {
		return errors.Wrapf(err, "ask router %s", reader.Node)
	}
	if !answer.GetMachinesCurrent() {
		return errNotReader
	}
	m.applyAnswer(reader, held, answer)
	if err := m.router.fetcher.applyConfiguration(m.router.holder, reader, answer); err != nil {
		m.router.logger.Debug().Err(err).Msg("configuration_fetch_failed")
	}
	return nil
}

// applyAnswer puts the list after an answer in force.
func (m *machineFollower) applyAnswer(reader membership.Member, held *rpc.SyncRequest, answer *rpc.ChangesResponse) {
	if reader.Node != m.followed {
		m.followed = reader.Node
		m.exchanges = 0
	}
	m.exchanges++
	m.readerWaits = 0
	before := m.subscriber.Machines()
	m.subscriber.Apply(held, &rpc.SyncResponse{
		Header: answer.GetHeader(), Machines: answer.GetMachines(), MachinesStep: answer.GetMachinesStep(),
	})
	machines := m.subscriber.Machines()
	if machines != nil && (machines != before || m.exchanges <= confirmationExchanges) {
		m.router.machines.setFromReader(machines, m.exchanges < confirmationExchanges)
	}
}

// answerFollower adds what a router lacks that follows this one.
func (m *machineFollower) answerFollower(request *rpc.ChangesRequest, response *rpc.ChangesResponse) {
	if !m.isCurrent() {
		return
	}
	response.MachinesCurrent = true
	step := &rpc.SyncResponse{}
	m.publisher.FillMachinesResponse(m.router.machines.encodedAll(), &rpc.SyncRequest{
		VersionsOf:      request.GetMachinesVersionsOf(),
		MachinesVersion: request.GetMachinesVersion(),
		MachinesDigest:  request.GetMachinesDigest(),
	}, step)
	response.Machines, response.MachinesStep = step.GetMachines(), step.GetMachinesStep()
}
