package admission

// Budget is what a process may hold for its clients: bytes of memory of each class.
type Budget struct{ Memory [classCount]int64 }

const (
	// clientMemoryShare is the share of a process's memory that its clients may take. The rest is for its own state, for the heap that
	// the garbage collector has not freed yet, and for what the program itself takes.
	clientMemoryShare = 3.0 / 8
)

// gatewayMemoryShares parts what a gateway has.
var gatewayMemoryShares = [classCount]float64{Callers: 5.0 / 8, Directory: 1.0 / 16, Readiness: 1.0 / 16, Peers: 1.0 / 4}

// GatewayBudget returns the budget of a gateway, which has a port for each class, with so many bytes of memory.
func GatewayBudget(memory int64) Budget {
	budget := Budget{}
	for class := range classCount {
		budget.Memory[class] = int64(float64(memory) * clientMemoryShare * gatewayMemoryShares[class])
	}
	return budget
}

// SinglePortBudget returns the budget of a process that has one port, for peers.
func SinglePortBudget(memory int64) Budget {
	budget := Budget{}
	budget.Memory[Peers] = int64(float64(memory) * clientMemoryShare)
	return budget
}
