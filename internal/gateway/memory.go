package gateway

// Division of the memory limit.
const (
	customerBytes         = 512 // state of one customer in the decision module
	customerMemoryDivisor = 16  // customers may take 1/16 of the memory
)

// maxCustomers returns the number of customers whose state a gateway with the given memory keeps.
func maxCustomers(memoryMB int) int { return memoryMB << 20 / customerMemoryDivisor / customerBytes }
