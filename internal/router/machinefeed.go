package router

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// allMachinesEncoding keeps the encoded list of machines of every kind, for routers
// that follow this one's. It is encoded when the first of them asks.
type allMachinesEncoding struct {
	// source is the list that the feed was made of.
	source  *rpc.MachineList
	message *rpc.MachineList
}

// encodedAll returns the list with the machines that agents don't use, or nil
// if none is known. It must not be written to.
func (l *machineList) encodedAll() *rpc.MachineList {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.allMachines.source != l.message {
		l.allMachines = allMachinesEncoding{source: l.message, message: encodeAllMachines(l.machines, l.message.GetMachines())}
	}
	return l.allMachines.message
}

// encodeAllMachines encodes machines of every kind and shares the messages of engines,
// which are in the same order.
func encodeAllMachines(machines []platform.Machine, engines []*rpc.Machine) *rpc.MachineList {
	whole := &rpc.MachineList{Machines: make([]*rpc.Machine, 0, len(machines))}
	digest := xxhash.New()
	for _, machine := range machines {
		digestMachine(digest, machine)
		_, _ = digest.WriteString(string(machine.Kind))
		if machine.Kind == platform.MachineEngine {
			whole.Machines = append(whole.Machines, engines[0])
			engines = engines[1:]
			continue
		}
		message := encodeMachine(machine)
		message.Kind = string(machine.Kind)
		whole.Machines = append(whole.Machines, message)
	}
	whole.Digest = max(digest.Sum64(), 1)
	return whole
}

// setFromReader takes the list of a router that reads the platform's. Its first
// one may be older than what the reader before had: machines that it lacks stay
// until it has read again.
func (l *machineList) setFromReader(message *rpc.MachineList, first bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var others []platform.Machine
	if first && l.fromPlatform {
		others = l.machines
	}
	l.fromPlatform = true
	l.replace(l.mergeNewest(decodeMachines(message), others))
}
