package router

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// allMachinesEncoding caches the encoded list of machines of every kind, which routers that follow
// this one fetch. It is built on first use.
type allMachinesEncoding struct {
	// source identifies the machine list that message was built from.
	source  *rpc.MachineList
	message *rpc.MachineList
}

// encodedAll returns the encoded list of machines of every kind, including those that agents don't
// use, or nil if no list is known. The result must not be modified.
func (l *machineList) encodedAll() *rpc.MachineList {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.allMachines.source != l.message {
		l.allMachines = allMachinesEncoding{source: l.message, message: encodeAllMachines(l.machines, l.message.GetMachines())}
	}
	return l.allMachines.message
}

// encodeAllMachines encodes machines of every kind. It reuses the messages in engines, which must
// be in the same order as the engines in machines.
func encodeAllMachines(machines []platform.Machine, engines []*rpc.Machine) *rpc.MachineList {
	list := &rpc.MachineList{Machines: make([]*rpc.Machine, 0, len(machines))}
	digest := xxhash.New()
	for _, machine := range machines {
		digestMachine(digest, machine)
		_, _ = digest.WriteString(string(machine.Kind))
		if machine.Kind == platform.MachineEngine {
			list.Machines = append(list.Machines, engines[0])
			engines = engines[1:]
			continue
		}
		message := encodeMachine(machine)
		message.Kind = string(machine.Kind)
		list.Machines = append(list.Machines, message)
	}
	list.Digest = max(digest.Sum64(), 1)
	return list
}

// setFromReader stores the list of a router that reads the platform's list. The first list of a new
// reader may be older than that of the previous one, so machines that are missing from it are kept.
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
