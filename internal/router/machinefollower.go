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
	// maxMissedReads is the number of intervals without a successful read after which a reader's
	// list is stale.
	maxMissedReads = 5
	// followsPerRead is the number of times a follower polls its reader per read interval, since
	// the delays of both add up.
	followsPerRead = 2
	// confirmationExchanges is the number of exchanges with a new reader after which its list is
	// considered at least as new as that of the previous reader.
	confirmationExchanges = 2
	// maxReaderWaits is the number of consecutive refreshes that a follower skips while readers
	// respond but have not read the list yet, such as after a restart of all routers. After that it
	// reads the list itself.
	maxReaderWaits = 2
)

// errNotReader reports that a router has no recently read list of machines.
var errNotReader = errors.New("router has no current list of machines")

// machineFollower keeps the list of machines up to date. A few routers of each region read the list
// from the platform; the others follow one of these readers and fetch changes. A router that finds
// no reader reads the platform itself. Only the polling goroutine calls refresh.
type machineFollower struct {
	router     *Router
	subscriber fleetsync.Subscriber
	// publisher serves the list to routers that follow this one.
	publisher *fleetsync.Publisher
	// followed is the reader that this router follows; exchanges counts the exchanges with it.
	followed    fleet.NodeID
	exchanges   int
	readerWaits int
	// readAt is the time of the last successful read from the platform, in nanoseconds of the
	// router's clock, or 0 if there was none.
	readAt atomic.Int64
}

func newMachineFollower(r *Router) *machineFollower {
	return &machineFollower{router: r, publisher: fleetsync.NewPublisher(r.node)}
}

// refresh updates the list from the platform or from a reader. A reader that can't reach the
// platform follows another reader.
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

// followAny follows the first reader that answers with a current list. It returns errNotReader if a
// router answered that isn't a reader and none had a current list.
func (m *machineFollower) followAny(readers []membership.Member) error {
	followErr := errors.New("no other router serves the list of machines")
	for _, reader := range m.orderReaders(readers) {
		err := m.follow(reader)
		if err == nil {
			return nil
		}
		m.router.logger.Debug().Str("reader", string(reader.Node)).Err(err).Msg("machine_follow_failed")
		if !errors.Is(followErr, errNotReader) {
			followErr = err
		}
	}
	return followErr
}

// orderReaders returns readers rotated to start with the followed one. A router that follows none
// starts at a random reader, which spreads followers evenly.
func (m *machineFollower) orderReaders(readers []membership.Member) []membership.Member {
	first := slices.IndexFunc(readers, func(member membership.Member) bool { return member.Node == m.followed })
	if first < 0 && len(readers) > 0 {
		first = newRandom().IntN(len(readers))
	}
	first = max(first, 0)
	return append(slices.Clone(readers[first:]), readers[:first]...)
}

// readPlatform reads the list from the platform.
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

// isCurrent reports whether this router itself has recently read the list from the platform. Lists
// received from a reader are not passed on, because two routers could otherwise follow each other.
func (m *machineFollower) isCurrent() bool {
	readAt := time.Duration(m.readAt.Load())
	settings := m.router.options.Settings
	maxAge := maxMissedReads*time.Duration(settings.MachineInterval) + time.Duration(settings.Platform.Timeout)
	return readAt > 0 && m.router.clock.Now()-readAt <= maxAge
}

// interval returns the mean time between refreshes.
func (m *machineFollower) interval() time.Duration {
	interval := time.Duration(m.router.options.Settings.MachineInterval)
	if m.followed != "" || m.readerWaits > 0 {
		interval /= followsPerRead
	}
	return interval
}

// follow fetches changes from a reader.
func (m *machineFollower) follow(reader membership.Member) error {
	ctx, cancel := context.WithTimeout(m.router.tomb.Context(context.Background()), peerTimeout)
	defer cancel()
	request := &rpc.SyncRequest{}
	m.subscriber.FillRequest(request)
	response, err := m.router.fetcher.client(reader).Changes(ctx, &rpc.ChangesRequest{
		Header:             m.router.header(),
		After:              uint64(m.router.holder.Revision()),
		MachinesFollowed:   true,
		MachinesVersionsOf: request.GetVersionsOf(),
		MachinesVersion:    request.GetMachinesVersion(),
		MachinesDigest:     request.GetMachinesDigest(),
	})
	if err != nil {
		return errors.Wrapf(err, "request machines from router %s", reader.Node)
	}
	if !response.GetMachinesCurrent() {
		return errNotReader
	}
	m.applyResponse(reader, request, response)
	if err := m.router.fetcher.applyConfiguration(m.router.holder, reader, response); err != nil {
		m.router.logger.Debug().Err(err).Msg("configuration_fetch_failed")
	}
	return nil
}

// applyResponse applies a reader's response to the list of machines.
func (m *machineFollower) applyResponse(reader membership.Member, request *rpc.SyncRequest, response *rpc.ChangesResponse) {
	if reader.Node != m.followed {
		m.followed = reader.Node
		m.exchanges = 0
	}
	m.exchanges++
	m.readerWaits = 0
	before := m.subscriber.Machines()
	m.subscriber.Apply(request, &rpc.SyncResponse{
		Header: response.GetHeader(), Machines: response.GetMachines(), MachinesStep: response.GetMachinesStep(),
	})
	machines := m.subscriber.Machines()
	if machines != nil && (machines != before || m.exchanges <= confirmationExchanges) {
		m.router.machines.setFromReader(machines, m.exchanges < confirmationExchanges)
	}
}

// fillFollowerResponse adds the changes that a follower is missing to response.
func (m *machineFollower) fillFollowerResponse(request *rpc.ChangesRequest, response *rpc.ChangesResponse) {
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
