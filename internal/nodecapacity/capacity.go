// Package nodecapacity computes how many requests per second a node can carry from the limits of its
// machine, and tracks how close to these limits its present usage is. It has no I/O and no clock.
package nodecapacity

import (
	"math"

	"github.com/go-faster/errors"
)

// Limits holds the resources that a machine gives one process. A zero field is unknown and limits
// nothing.
type Limits struct {
	// ProcessorShare is the processor time that the process gets, in cores. The machine has Cores
	// cores.
	ProcessorShare float64
	Cores          int
	// MemoryMB is the memory in MiB at which the process is killed.
	MemoryMB int
	// FileDescriptors bounds the open descriptors, of which ReservedDescriptors are for files.
	FileDescriptors int
	// LinkMegabits is the bandwidth of the machine's link in each direction, in Mbit/s.
	LinkMegabits float64
}

// Resources that one request takes, rounded up.
const (
	// RequestProcessorSeconds is processor time in seconds, beyond what a node without requests uses.
	RequestProcessorSeconds = 0.002
	// RequestBytes is what a request sends over the link: headers and body to a worker and the
	// answer to the caller, with acknowledgements and some retries.
	RequestBytes = 4 << 10
	// RequestSeconds is how long a request holds its connections and buffers, including the idle
	// time before they are reused.
	RequestSeconds = 4
	// requestDescriptors counts the connections that a request holds, its caller's and a worker's.
	requestDescriptors = 2
	// requestMemoryMB is the memory of a request in flight, with both connections and its body.
	requestMemoryMB = 0.15
)

// Resources that a node uses without any request.
const (
	// ReservedDescriptors are reserved for files and listeners.
	ReservedDescriptors = 200
	// baseDescriptors are the connections to other nodes, to the store and to the caches whose events
	// the node subscribes to.
	baseDescriptors = 1200
	// baseMemoryMB is the memory of a serving node with its cache index.
	baseMemoryMB = 64
	// peerTrafficFraction is the fraction of the link reserved for traffic between nodes.
	peerTrafficFraction = 0.5
)

const bytesPerMegabit = 1e6 / 8

// Shares of the memory for the bodies of requests and for answers.
const (
	// bodyFraction is the part of the memory beyond baseMemoryMB that bodies may take. The rest is for
	// answers, connections and what the garbage collector hasn't freed yet.
	bodyFraction = 0.5
	// minBodyMB is what bodies may take on the smallest machines.
	minBodyMB = 8
	// answerFraction and minAnswerMB are the same for answers and events that are buffered.
	answerFraction = 0.2
	minAnswerMB    = 4
)

// BodyBytes returns the memory that the bodies of all requests may take together, in bytes; 0 if the
// memory is unknown.
func (l Limits) BodyBytes() int64 { return l.memoryShare(bodyFraction, minBodyMB) }

// AnswerBytes returns the memory that all buffered answers and events may take together, in bytes; 0 if the memory is
// unknown.
func (l Limits) AnswerBytes() int64 { return l.memoryShare(answerFraction, minAnswerMB) }

// memoryShare returns a part of the memory beyond baseMemoryMB, in bytes; 0 if the memory is unknown.
func (l Limits) memoryShare(fraction, minMB float64) int64 {
	if l.MemoryMB <= 0 {
		return 0
	}
	return int64(max(fraction*float64(l.MemoryMB-baseMemoryMB), minMB) * (1 << 20))
}

// Validate returns an error that names the first invalid limit.
func (l Limits) Validate() error {
	switch {
	case l.ProcessorShare < 0 || math.IsNaN(l.ProcessorShare) || math.IsInf(l.ProcessorShare, 0):
		return errors.Errorf("processor share: %v is not a valid number of cores", l.ProcessorShare)
	case l.Cores < 0:
		return errors.Errorf("cores: %d is below 0", l.Cores)
	case l.MemoryMB < 0:
		return errors.Errorf("memory: %d MB is below 0", l.MemoryMB)
	case l.FileDescriptors < 0:
		return errors.Errorf("file descriptors: %d is below 0", l.FileDescriptors)
	case l.FileDescriptors > 0 && l.FileDescriptors <= ReservedDescriptors:
		return errors.Errorf("file descriptors: %d leave none beside the %d for files", l.FileDescriptors, ReservedDescriptors)
	case l.LinkMegabits < 0 || math.IsNaN(l.LinkMegabits) || math.IsInf(l.LinkMegabits, 0):
		return errors.Errorf("link: %v is not a valid number of Mbit/s", l.LinkMegabits)
	}
	return nil
}

// Resource is a resource that a node may run short of.
type Resource uint8

// Resources of a node.
const (
	Processor Resource = iota
	Memory
	Descriptors
	Link
	resourceCount
)

// String returns the resource's lower-case name.
func (r Resource) String() string {
	return [resourceCount]string{"processor", "memory", "descriptors", "link"}[min(r, resourceCount-1)]
}

// RequestsPerSecond returns how many requests per second each limit allows; infinity if the limit is
// unknown.
func (l Limits) RequestsPerSecond() [resourceCount]float64 {
	unlimited := math.Inf(1)
	allowed := [resourceCount]float64{unlimited, unlimited, unlimited, unlimited}
	if l.ProcessorShare > 0 {
		allowed[Processor] = l.ProcessorShare / RequestProcessorSeconds
	}
	if l.MemoryMB > 0 {
		left := math.Max(float64(l.MemoryMB-baseMemoryMB), 1)
		allowed[Memory] = left / (requestMemoryMB * RequestSeconds)
	}
	if l.FileDescriptors > 0 {
		left := math.Max(float64(l.FileDescriptors-ReservedDescriptors-baseDescriptors), 1)
		allowed[Descriptors] = left / (requestDescriptors * RequestSeconds)
	}
	if l.LinkMegabits > 0 {
		allowed[Link] = l.LinkMegabits * bytesPerMegabit * (1 - peerTrafficFraction) / RequestBytes
	}
	return allowed
}

// Capacity returns the requests per second that a node can carry, and the resource that limits them.
// It returns 0 if no limit is known.
func (l Limits) Capacity() (float64, Resource) {
	allowed := l.RequestsPerSecond()
	least := Processor
	for resource := range resourceCount {
		if allowed[resource] < allowed[least] {
			least = resource
		}
	}
	if math.IsInf(allowed[least], 1) {
		return 0, least
	}
	return allowed[least], least
}

// Millicores returns the capacity in thousandths of a core, the unit in which nodes report it. A node
// that is limited by its link, memory or descriptors counts as one with a smaller processor.
func (l Limits) Millicores() uint32 {
	capacity, _ := l.Capacity()
	return uint32(math.Round(capacity * RequestProcessorSeconds * 1000))
}
