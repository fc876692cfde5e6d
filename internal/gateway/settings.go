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

// Settings configures a gateway. Callers set them, call ApplyDefaults and pass them to New, which
// validates them.
type Settings struct {
	// Node is the name of the machine. It must be the same after a restart.
	Node   string
	Zone   fleet.ZoneName
	Region fleet.RegionName
	// Zones maps each zone to its region. Zones that are missing count as near.
	Zones map[fleet.ZoneName]fleet.RegionName
	// Distances are the costs of sending a request to another zone or region;
	// backends.DefaultDistancePrices if all are 0. A reload doesn't change them.
	Distances backends.DistancePrices

	// FrontAddress is the listen address for callers' requests.
	FrontAddress string
	// DirectoryAddress is the listen address of the directory, which returns gateway addresses.
	DirectoryAddress string
	// ReadyAddress is the listen address of the readiness check.
	ReadyAddress string
	// PeerAddress is the listen address for other gateways.
	PeerAddress string
	// MetricsAddress is the listen address for metrics; empty disables them.
	MetricsAddress string
	// StoreAddress is the address of the store.
	StoreAddress string

	// Seeds are addresses of other gateways, used to join the fleet. They may be stale.
	Seeds []fleet.Address

	// FirstStart is set at the first start of the whole fleet, when there are no callers yet.
	FirstStart bool

	// Limits are the machine's resources available to this process.
	Limits nodecapacity.Limits

	// StopGrace is the time from the signal of a planned stop until the process is killed.
	StopGrace time.Duration
	// RevokeWithin is the time after which a revoked key must no longer be accepted. If
	// RevokeEverywhere is set, this also holds for gateways that are partitioned.
	RevokeWithin     time.Duration
	RevokeEverywhere bool
	// RetryRatio and RetrySlack bound the retries of all gateways together in any RetryWindow: the
	// ratio times the requests, plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaOvershoot and QuotaSlack bound by how much all gateways together may exceed a tenant's
	// quota in any QuotaWindow: a fraction of the quota, plus the slack in units.
	QuotaOvershoot float64
	QuotaSlack     float64
	QuotaWindow    time.Duration
	// Deliveries enables deliveries, the staged rollouts of services' software versions.
	Deliveries bool
	// ExposureShare and ExposureSlack bound the requests that a bad version of a service may
	// receive until the deadline of its delivery: a fraction of the service's requests, plus the
	// slack. RollbackWithin is the time after the first bad responses after which it must receive
	// none.
	ExposureShare  float64
	ExposureSlack  float64
	RollbackWithin time.Duration
	// LeaseGap is the least time between the orders of two lease holders.
	LeaseGap time.Duration
	// UpdateModelsWithin is the time after a model version is requested from which no request may
	// begin on an older one.
	UpdateModelsWithin time.Duration
	// ConfigureWithin is the time after its acknowledgement within which a configuration must be in
	// force.
	ConfigureWithin time.Duration
	// MaxDirectoryTTL bounds how long callers may cache a response of the directory.
	MaxDirectoryTTL time.Duration
}

// Defaults of the settings that a deployment doesn't set.
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

// ApplyDefaults sets the fields that are 0 to their defaults.
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

// hasOtherSeeds reports whether there are seeds other than this gateway's own address.
func (s *Settings) hasOtherSeeds() bool {
	return slices.ContainsFunc(s.Seeds, func(seed fleet.Address) bool { return seed != fleet.Address(s.PeerAddress) })
}

// Validate returns an error that names the first invalid field.
func (s *Settings) Validate() error {
	if s.Node == "" {
		return errors.New("node name is empty")
	}
	for name, address := range map[string]string{
		"front": s.FrontAddress, "directory": s.DirectoryAddress, "ready": s.ReadyAddress,
		"internal": s.PeerAddress, "store": s.StoreAddress,
	} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errors.Errorf("%s address %q: must have the form HOST:PORT", name, address)
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
		"model update bound": s.UpdateModelsWithin, "configuration bound": s.ConfigureWithin, "retry window": s.RetryWindow,
		"rollback bound": s.RollbackWithin,
	} {
		if bound <= 0 {
			return errors.Errorf("%s: %s must be greater than 0", name, bound)
		}
	}
	if !(s.ExposureShare >= 0 && s.ExposureShare <= 1) {
		return errors.Errorf("exposure share: %v must be between 0 and 1", s.ExposureShare)
	}
	if !(s.ExposureSlack >= 0) {
		return errors.Errorf("exposure slack: %v must not be negative", s.ExposureSlack)
	}
	return nil
}

// regions returns the region of each zone, including this gateway's own.
func (s *Settings) regions() backends.Regions {
	regions := make(backends.Regions, len(s.Zones)+1)
	maps.Copy(regions, s.Zones)
	if s.Region != "" {
		regions[s.Zone] = s.Region
	}
	return regions
}

// identity is the part of the settings that a reload can't change.
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
