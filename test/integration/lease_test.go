package integration

import (
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// shortLease makes a lease expire within the test.
var shortLease = map[string][]string{"router": {"--set", "lease_duration=1500ms", "--set", "lease_margin=300ms"}}

// withVersion returns singleStreamConfiguration with a second version of the model.
func withVersion(state string) string {
	return strings.Replace(singleStreamConfiguration, "{name: v1, state: serving}", "{name: v1, state: serving}, {name: v2, state: "+state+"}", 1)
}

// leaseHolder returns the router that acquired the lease last, and its fencing token.
func (f *testFleet) leaseHolder() (holder string, token int) {
	for _, name := range f.names("router") {
		for line := range strings.Lines(f.processes[name].log()) {
			if acquired := logNumber(line, "event=lease_acquired", "token"); acquired > token {
				holder, token = name, acquired
			}
		}
	}
	return holder, token
}

// TestPausedLeaseHolderCannotApplyStaleOrder guards against a late order of a paused lease holder
// that loads a version after a newer holder has unloaded it.
func TestPausedLeaseHolderCannotApplyStaleOrder(t *testing.T) {
	f := startFleet(t, fleetOptions{engineProxies: true, flags: shortLease})
	holder := ""
	eventually(t, "a router holds the lease", func() bool {
		holder, _ = f.leaseHolder()
		return holder != ""
	})
	f.setEngineRules(rule{direction: towardsServer, match: orderLine, action: actionHold})
	f.apply(f.otherRouter(holder), withVersion("loading"))
	held := ""
	eventually(t, "an order is in flight", func() bool {
		for _, name := range f.names("engine") {
			if f.proxies[name].matchCount() > 0 {
				held = name
			}
		}
		return held != ""
	})
	holder, oldToken := f.leaseHolder()
	f.processes[holder].signal(syscall.SIGSTOP)
	f.setEngineRules()
	eventually(t, "another router takes the lease", func() bool {
		next, token := f.leaseHolder()
		return next != holder && token > oldToken
	})
	eventually(t, "every engine has loaded the version by a newer order", func() bool { return f.everyEngine(loadedAfterToken(oldToken)) })
	retired := f.mustRunStatement(f.otherRouter(holder), "retire version "+model+" v2")
	eventually(t, "every engine has unloaded the version", func() bool { return f.everyEngine(hasUnloaded) })

	before := f.engineStatus(held).Fence
	f.proxies[held].releaseHeld()
	eventually(t, "the engine rejects the stale order", func() bool {
		return f.proxies[held].hasAnswered(string(engine.ErrorStaleFence))
	})
	assert.True(t, hasUnloaded(f.engineStatus(held)), "the stale order must not take effect")
	f.processes[holder].signal(syscall.SIGCONT)
	f.awaitRevision(retired.Revision)
	assert.GreaterOrEqual(t, f.engineStatus(held).Fence, before)
	assert.True(t, f.everyEngine(hasUnloaded))
	running := startLoad(t, f, 6, 10)
	running.requireAllComplete(t)
}

func (f *testFleet) otherRouter(name string) string {
	for _, other := range f.names("router") {
		if other != name {
			return other
		}
	}
	require.FailNow(f.t, "the fleet has only one router")
	return ""
}

func (f *testFleet) everyEngine(condition func(engine.Status) bool) bool {
	for _, name := range f.names("engine") {
		if !condition(f.engineStatus(name)) {
			return false
		}
	}
	return true
}

var secondVersion = engine.ModelVersion{Model: model, Version: "v2"}

func loadedAfterToken(token int) func(engine.Status) bool {
	return func(status engine.Status) bool {
		return status.Fence > fleet.FencingToken(token) && contains(status.Loaded, secondVersion)
	}
}

func hasUnloaded(status engine.Status) bool {
	return !contains(status.Loaded, secondVersion) && !contains(status.Loading, secondVersion)
}

func contains(weights []engine.ModelVersion, wanted engine.ModelVersion) bool {
	for _, loaded := range weights {
		if loaded == wanted {
			return true
		}
	}
	return false
}
