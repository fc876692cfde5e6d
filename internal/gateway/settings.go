package gateway

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/nodecapacity"
)

// Settings sets up one gateway. They are checked by Validate, apart from serving.
type Settings struct {
	// Node is the machine's name; a restart keeps it.
	Node   string
	Zone   fleet.ZoneName
	Region fleet.RegionName
	// Zones holds the region of each zone; zones that it lacks count as near ones.
	Zones map[fleet.ZoneName]fleet.RegionName
	// Distances are what distance costs a request; backends.DefaultDistancePrices if all
	// are 0. They hold from the start of the process on.
	Distances backends.DistancePrices

	// FrontAddress serves callers' requests.
	FrontAddress string
	// DirectoryAddress tells callers which addresses to use.
	DirectoryAddress string
	// ReadyAddress answers checks of readiness.
	ReadyAddress string
	// PeerAddress serves other gateways.
	PeerAddress string
	// MetricsAddress serves metrics; empty serves none.
	MetricsAddress string
	// StoreAddress is where the store is.
	StoreAddress string

	// Seeds are addresses at which other gateways may be found; they may be stale.
	Seeds []fleet.Address

	// FirstStart is set if all nodes start for the first time: no caller is there yet.
	FirstStart bool

	// Limits are what the machine gives this process.
	Limits nodecapacity.Limits

	// StopGrace is the time between a planned stop's signal and the kill.
	StopGrace time.Duration
	// RevokeWithin is the time after which a revoked key must not be served, also
	// by a node out of touch, if RevokeEverywhere is set.
	RevokeWithin     time.Duration
	RevokeEverywhere bool
	// RetryRatio and RetrySlack bound the retries of all nodes together, in any
	// RetryWindow: the ratio of the requests plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaOvershoot and QuotaSlack are by how much all nodes together may exceed a
	// tenant's quota in any QuotaWindow: a part of it, and units besides.
	QuotaOvershoot float64
	QuotaSlack     float64
	QuotaWindow    time.Duration
	// Deliveries is set if versions of services' software are delivered by order here.
	Deliveries bool
	// ExposureShare and ExposureSlack bound what a bad version of a service may get until
	// its delivery's deadline: a part of the service's requests, and requests besides.
	// RollbackWithin is the time after the first bad answers after which it must get none.
	ExposureShare  float64
	ExposureSlack  float64
	RollbackWithin time.Duration
	// LeaseGap is the least time between the orders of two holders.
	LeaseGap time.Duration
	// UpdateModelsWithin is the time after the naming of a version after which no
	// request may begin on an older one.
	UpdateModelsWithin time.Duration
	// ConfigureWithin is the time after a configuration's acknowledgement within
	// which it must be in force.
	ConfigureWithin time.Duration
	// MaxDirectoryTTL bounds how long callers may keep an answer of the directory.
	MaxDirectoryTTL time.Duration
}

// Defaults of bounds that a deployment doesn't set.
const (
	DefaultStopGrace          = 8 * time.Second
	DefaultRevokeWithin       = 5 * time.Second
	DefaultRetryRatio         = 0.1
	DefaultRetryWindow        = 10 * time.Second
	DefaultQuotaWindow        = 8 * time.Second
	DefaultLeaseGap           = 3 * time.Second
	DefaultExposureShare      = 0.1
	DefaultRollbackWithin     = 5 * time.Second
	DefaultUpdateModelsWithin = 8 * time.Second
	DefaultConfigureWithin    = 2 * time.Second
	DefaultDirectoryTTL       = 5 * time.Second
)

// ApplyDefaults sets the bounds that are 0, since a deployment names only those
// of the parts that it has.
func (s *Settings) ApplyDefaults() {
	if s.Distances == (backends.DistancePrices{}) {
		s.Distances = backends.DefaultDistancePrices()
	}
	for _, bound := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&s.StopGrace, DefaultStopGrace}, {&s.RevokeWithin, DefaultRevokeWithin},
		{&s.RetryWindow, DefaultRetryWindow}, {&s.QuotaWindow, DefaultQuotaWindow},
		{&s.LeaseGap, DefaultLeaseGap}, {&s.UpdateModelsWithin, DefaultUpdateModelsWithin},
		{&s.RollbackWithin, DefaultRollbackWithin},
		{&s.MaxDirectoryTTL, DefaultDirectoryTTL}, {&s.ConfigureWithin, DefaultConfigureWithin},
	} {
		if *bound.field == 0 {
			*bound.field = bound.fallback
		}
	}
	if s.RetryRatio == 0 {
		s.RetryRatio = DefaultRetryRatio
	}
	if s.ExposureShare == 0 {
		s.ExposureShare = DefaultExposureShare
	}
}

// hasOtherSeeds tells whether other gateways may be there.
func (s *Settings) hasOtherSeeds() bool {
	return slices.ContainsFunc(s.Seeds, func(seed fleet.Address) bool { return seed != fleet.Address(s.PeerAddress) })
}

// Validate returns an error that names the first field that can't be used.
func (s *Settings) Validate() error {
	if s.Node == "" {
		return errors.New("node: no name")
	}
	for name, address := range map[string]string{
		"front": s.FrontAddress, "directory": s.DirectoryAddress, "ready": s.ReadyAddress,
		"internal": s.PeerAddress, "store": s.StoreAddress,
	} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errors.Errorf("%s address %q: not HOST:PORT", name, address)
		}
	}
	if err := s.Limits.Validate(); err != nil {
		return errors.Wrap(err, "limits")
	}
	if err := s.Distances.Validate(); err != nil {
		return errors.Wrap(err, "distances")
	}
	for name, bound := range map[string]time.Duration{
		"stop grace": s.StopGrace, "revocation bound": s.RevokeWithin, "lease gap": s.LeaseGap,
		"weights bound": s.UpdateModelsWithin, "configuration bound": s.ConfigureWithin, "retry window": s.RetryWindow,
		"rollback bound": s.RollbackWithin,
	} {
		if bound <= 0 {
			return errors.Errorf("%s: %s isn't above 0", name, bound)
		}
	}
	if !(s.ExposureShare >= 0 && s.ExposureShare <= 1) {
		return errors.Errorf("exposure share: %v isn't between 0 and 1", s.ExposureShare)
	}
	if !(s.ExposureSlack >= 0) {
		return errors.Errorf("exposure slack: %v is below 0", s.ExposureSlack)
	}
	return nil
}

// regions returns the region of each zone, this node's own included.
func (s *Settings) regions() backends.Regions {
	regions := make(backends.Regions, len(s.Zones)+1)
	maps.Copy(regions, s.Zones)
	if s.Region != "" {
		regions[s.Zone] = s.Region
	}
	return regions
}

// identity is what of the settings holds for as long as a process runs.
type identity struct {
	node                           string
	zone                           fleet.ZoneName
	region                         fleet.RegionName
	front, directory, ready, peers string
	metrics, store                 string
}

func (s *Settings) identity() identity {
	return identity{
		node: s.Node, zone: s.Zone, region: s.Region, front: s.FrontAddress, directory: s.DirectoryAddress,
		ready: s.ReadyAddress, peers: s.PeerAddress, metrics: s.MetricsAddress, store: s.StoreAddress,
	}
}
