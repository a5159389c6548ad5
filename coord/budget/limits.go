package budget

import "fmt"

const (
	// minMegabytes is what a process needs without clients.
	minMegabytes = 16
	// maxMegabytes exceeds any VM; it detects a size given in kilobytes or bytes.
	maxMegabytes = 1 << 20
	// FilesReserved is how many descriptors are for files and everything that is not a connection.
	FilesReserved = 200
	// minDescriptors leaves connections for each kind of client.
	minDescriptors = FilesReserved + 20
	// maxDescriptors exceeds any limit of a process.
	maxDescriptors = 1 << 24
)

// CheckLimits returns an error for a memory size or a number of descriptors that cannot work; 0 is unspecified.
func CheckLimits(megabytes float64, descriptors int) error {
	switch {
	case megabytes != 0 && (megabytes < minMegabytes || megabytes > maxMegabytes):
		return fmt.Errorf("memory-megabytes is %g; use a number from %d to %d, or 0", megabytes, minMegabytes, maxMegabytes)
	case descriptors != 0 && (descriptors < minDescriptors || descriptors > maxDescriptors):
		return fmt.Errorf("file-descriptors is %d; use a number from %d to %d, or 0", descriptors, minDescriptors, maxDescriptors)
	}
	return nil
}

// Limits bound what the clients of one process may use.
type Limits struct {
	// Heap is the size from which the garbage collector works harder, 0 for none.
	Heap int64
	// Bytes is the budget for messages under way, beside the allowance of each connection.
	Bytes int64
	// Callers, Links and HTTP are numbers of connections to each kind of listener.
	Callers, Links, HTTP int
}

const (
	// defaultMegabytes and defaultDescriptors hold if the settings name no limit.
	defaultMegabytes   = 512
	defaultDescriptors = 8192

	// A VM with a disk runs an entry and a control process. Their heaps together leave a tenth of its memory.
	entryHeapPercent   = 55
	controlHeapPercent = 35
	// The budgets are a part of the heaps that leaves room for the process itself and for idle sessions.
	entryBudgetPercent   = 16
	controlBudgetPercent = 13

	// minHeap is the heap of a process without clients, and minBudget fits a message of 1 MiB with its copies.
	minHeap   = 12 << 20
	minBudget = 6 << 20

	// What is left of the connections is for those that the process opens itself.
	callersPercent = 60
	linksPercent   = 15
	httpPercent    = 5
	// controlLinksPercent and controlHTTPPercent are those of a control process, which has no callers and hears
	// from every VM and server.
	controlLinksPercent = 40
	controlHTTPPercent  = 30
)

// LimitsOfEntry returns the limits of an entry process; sizes of 0 are unspecified.
func LimitsOfEntry(megabytes float64, descriptors int) Limits {
	l := limitsOf(megabytes, entryHeapPercent, entryBudgetPercent)
	connections := connectionsOf(descriptors)
	l.Callers, l.Links, l.HTTP = connections*callersPercent/100, connections*linksPercent/100, connections*httpPercent/100
	return l
}

// LimitsOfControl returns the limits of a control process; sizes of 0 are unspecified.
func LimitsOfControl(megabytes float64, descriptors int) Limits {
	l := limitsOf(megabytes, controlHeapPercent, controlBudgetPercent)
	connections := connectionsOf(descriptors)
	l.Links, l.HTTP = connections*controlLinksPercent/100, connections*controlHTTPPercent/100
	return l
}

func limitsOf(megabytes float64, heapPercent, budgetPercent int) Limits {
	l := Limits{}
	if megabytes > 0 {
		l.Heap = max(minHeap, percentOf(megabytes, heapPercent))
	} else {
		megabytes = defaultMegabytes
	}
	l.Bytes = max(minBudget, percentOf(megabytes, budgetPercent))
	return l
}

func percentOf(megabytes float64, percent int) int64 {
	return int64(megabytes * (1 << 20) * float64(percent) / 100)
}

func connectionsOf(descriptors int) int {
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	return descriptors - FilesReserved
}
