package router

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// machineList holds the known machines. The platform's list is authoritative. Until it has been
// read, lists from agents and peers are used instead: an outdated entry only causes failed status
// polls, because engines prove their identity. It is safe for concurrent use.
type machineList struct {
	mutex        sync.Mutex
	isSet        bool
	fromPlatform bool
	// machines is sorted by ID and only ever replaced as a whole.
	machines    []platform.Machine
	message     *rpc.MachineList
	allMachines allMachinesEncoding
	changed     chan struct{}
}

func newMachineList() *machineList {
	return &machineList{changed: make(chan struct{}, 1)}
}

// setFromPlatform stores a list read from the platform.
func (l *machineList) setFromPlatform(listed []platform.Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fromPlatform = true
	l.replace(l.mergeNewest(listed, nil))
}

// offer merges a list cached by an agent or peer. It has no effect once the platform's list has
// been read.
func (l *machineList) offer(message *rpc.MachineList) {
	if len(message.GetMachines()) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.fromPlatform {
		return
	}
	l.replace(l.mergeNewest(decodeMachines(message), l.machines))
}

// mergeNewest returns the newest entry of each machine in listed and others. An incarnation that
// was seen leaving stays leaving, because a stale list may show an older state. This doesn't apply
// to entries without an incarnation, which would also affect later incarnations of the machine.
func (l *machineList) mergeNewest(listed, others []platform.Machine) []platform.Machine {
	byID := make(map[string]platform.Machine, len(listed))
	for _, machine := range slices.Concat(listed, others) {
		existing, found := byID[machine.ID]
		if !found || supersedes(machine, existing) {
			byID[machine.ID] = machine
		}
	}
	for _, machine := range l.machines {
		existing, found := byID[machine.ID]
		if found && machine.Incarnation != 0 && supersedes(machine, existing) {
			byID[machine.ID] = machine
		}
	}
	merged := make([]platform.Machine, 0, len(byID))
	for _, machine := range byID {
		merged = append(merged, machine)
	}
	slices.SortFunc(merged, func(a, b platform.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return merged
}

func supersedes(machine, other platform.Machine) bool {
	if machine.Incarnation != other.Incarnation {
		return machine.Incarnation > other.Incarnation
	}
	return machine.State == platform.MachineLeaving && other.State != platform.MachineLeaving
}

// replace stores a list and signals a change. The mutex must be held.
func (l *machineList) replace(machines []platform.Machine) {
	if l.isSet && slices.Equal(l.machines, machines) {
		return
	}
	l.isSet = true
	l.machines = machines
	l.message = encodeMachines(machines)
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// isKnown reports whether a list from any source has been stored.
func (l *machineList) isKnown() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.isSet
}

// current returns the list, which must not be modified.
func (l *machineList) current() []platform.Machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.machines
}

// encoded returns the encoded list of engines, or nil if no list is known. The result must not be
// modified.
func (l *machineList) encoded() *rpc.MachineList {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.message
}

// encodeMachines encodes the engines of a list; agents use no other machines.
func encodeMachines(machines []platform.Machine) *rpc.MachineList {
	message := &rpc.MachineList{}
	digest := xxhash.New()
	for _, machine := range machines {
		if machine.Kind != platform.MachineEngine {
			continue
		}
		message.Machines = append(message.Machines, encodeMachine(machine))
		digestMachine(digest, machine)
	}
	message.Digest = max(digest.Sum64(), 1)
	return message
}

func encodeMachine(machine platform.Machine) *rpc.Machine {
	return &rpc.Machine{
		Id:          machine.ID,
		Address:     string(machine.Address),
		Region:      string(machine.Region),
		Zone:        string(machine.Zone),
		Pool:        string(machine.Pool),
		Incarnation: uint64(machine.Incarnation),
		Leaving:     machine.State == platform.MachineLeaving,
	}
}

// digestMachine adds a machine to digest. Fields are separated to keep the encoding unambiguous.
func digestMachine(digest *xxhash.Digest, machine platform.Machine) {
	const separator = "\x00"
	for _, field := range []string{
		machine.ID, string(machine.Address), string(machine.Region), string(machine.Zone), string(machine.Pool), string(machine.State),
	} {
		_, _ = digest.WriteString(field + separator)
	}
	var incarnation [8]byte
	binary.LittleEndian.PutUint64(incarnation[:], uint64(machine.Incarnation))
	_, _ = digest.Write(incarnation[:])
}

func decodeMachines(message *rpc.MachineList) []platform.Machine {
	machines := make([]platform.Machine, 0, len(message.GetMachines()))
	for _, machine := range message.GetMachines() {
		if machine.GetId() == "" || machine.GetAddress() == "" {
			continue
		}
		state := platform.MachineLive
		if machine.GetLeaving() {
			state = platform.MachineLeaving
		}
		kind := platform.MachineKind(machine.GetKind())
		if kind == "" {
			kind = platform.MachineEngine
		}
		machines = append(machines, platform.Machine{
			ID:          machine.GetId(),
			Kind:        kind,
			Address:     fleet.Address(machine.GetAddress()),
			Region:      fleet.RegionName(machine.GetRegion()),
			Zone:        fleet.ZoneName(machine.GetZone()),
			Pool:        fleet.PoolName(machine.GetPool()),
			Incarnation: fleet.Incarnation(machine.GetIncarnation()),
			State:       state,
		})
	}
	return machines
}
