package gateway

// What is not on the heap, and the part of the heap that may be in use: the rest is garbage between
// two collections.
const (
	sharedProgramBytes  = 8 << 20 // pages of the program's file, which all processes of a gateway share
	processBytes        = 4 << 20 // a process beyond them and its heap: the C library and the system's buffers
	heapFraction        = 0.7     // of the memory limit
	minHeapFraction     = 0.25    // of the memory limit, also if the program takes more than the rest
	heapInUseFraction   = 0.7     // of the heap limit
	reservedDescriptors = 64      // descriptors for the counter, discovery, operators and the runtime
	clientFraction      = 0.55    // of the other descriptors; backends get the rest
)

// What clients can make a gateway hold, in bytes of heap and stacks, without the bodies.
const (
	connectionBytes = 16 << 10 // an idle client connection
	requestBytes    = 12 << 10 // a request in progress, beyond its connection
	attemptBytes    = 40 << 10 // an attempt, beyond its request, until its response has been read by the client
	customerBytes   = 640      // a customer in the decision module
	identityBytes   = 64       // the id of a request that may have run
)

// Fractions of the heap in use. Bodies get what is left.
const (
	connectionFraction = 0.375
	attemptFraction    = 0.25
	waitingFraction    = 0.1 // requests without an attempt
	customerFraction   = 0.085
	identityFraction   = 0.02
)

// heapLimit returns the limit of the heap, in bytes, of one of the given number of processes that share
// the memory of a gateway.
func heapLimit(memoryMB, processes int) int64 {
	memory := int64(memoryMB) << 20
	limit := min(int64(heapFraction*float64(memory)), memory-sharedProgramBytes-int64(processes)*processBytes)
	return max(limit, int64(minHeapFraction*float64(memory))) / int64(processes)
}

// resourcePlan divides the descriptors and the memory of a gateway among what clients can make it
// hold. All of it together fits into the limits, so no client needs to be trusted.
type resourcePlan struct {
	processes    int   // processes that share the limits of the gateway
	heap         int64 // bytes, the limit of the heap of this process
	clientConns  int   // client connections
	backendConns int   // connections to backends
	attempts     int   // attempts that have not ended
	requests     int   // requests in progress
	customers    int   // customers whose state is kept
	identities   int   // ids of requests that are kept
	bodies       int   // bytes for bodies
}

// resourcePlan returns the plan for one of the given number of processes.
func (c *Config) resourcePlan(processes int) resourcePlan {
	return newResourcePlan(c.MemoryMB, c.Sockets, processes)
}

// newResourcePlan returns the plan for one of the given number of processes that share the limits.
func newResourcePlan(memoryMB, sockets, processes int) resourcePlan {
	plan := resourcePlan{processes: processes, heap: heapLimit(memoryMB, processes)}
	plan.clientConns, plan.backendConns = splitDescriptors((sockets - reservedDescriptors) / processes)
	heap := heapInUseFraction * float64(plan.heap)
	count := func(fraction float64, bytes int) int { return max(int(fraction*heap)/bytes, 1) }
	plan.clientConns = min(plan.clientConns, count(connectionFraction, connectionBytes))
	plan.attempts = min(plan.backendConns, count(attemptFraction, attemptBytes))
	plan.requests = plan.attempts + count(waitingFraction, requestBytes)
	plan.customers = count(customerFraction, customerBytes)
	plan.identities = count(identityFraction, identityBytes)
	plan.bodies = int(heap) - plan.clientConns*connectionBytes - plan.attempts*attemptBytes - plan.requests*requestBytes -
		plan.customers*customerBytes - plan.identities*identityBytes
	return plan
}

// splitDescriptors divides descriptors between clients and backends.
func splitDescriptors(sockets int) (clients, backends int) {
	clients = int(float64(sockets) * clientFraction)
	return clients, sockets - clients
}
