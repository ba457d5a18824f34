package admission

// Budget is what a process may hold for its clients: bytes of memory and open connections of each class.
type Budget struct {
	Memory      [classCount]int64
	Connections [classCount]int
}

const (
	// clientMemoryShare is the share of a process's memory that its clients may take. The rest is for its own state, for the heap that
	// the garbage collector has not freed yet, and for what the program itself takes.
	clientMemoryShare = 3.0 / 8
	// reservedFiles are the descriptors that a process keeps for its own files and listening sockets, beside those that a platform keeps.
	reservedFiles = 64
	// peerConnectionShare is the share of descriptors for clients of a process with one port; the rest is for connections to servers and nodes.
	peerConnectionShare = 3.0 / 4
)

// gatewayMemoryShares and gatewayConnectionShares part what a gateway has. The missing share of connections is for those to servers.
var (
	gatewayMemoryShares     = [classCount]float64{Callers: 5.0 / 8, Directory: 1.0 / 16, Readiness: 1.0 / 16, Peers: 1.0 / 4}
	gatewayConnectionShares = [classCount]float64{Callers: 1.0 / 2, Directory: 1.0 / 8, Readiness: 1.0 / 16, Peers: 1.0 / 8}
)

// GatewayBudget returns the budget of a gateway, which has a port for each class, with so many bytes of memory and descriptors.
func GatewayBudget(memory, files int64) Budget {
	budget := Budget{}
	for class := range classCount {
		budget.Memory[class] = int64(float64(memory) * clientMemoryShare * gatewayMemoryShares[class])
		budget.Connections[class] = connections(files, gatewayConnectionShares[class])
	}
	return budget
}

// SinglePortBudget returns the budget of a process that has one port, for peers.
func SinglePortBudget(memory, files int64) Budget {
	budget := Budget{}
	budget.Memory[Peers] = int64(float64(memory) * clientMemoryShare)
	budget.Connections[Peers] = connections(files, peerConnectionShare)
	return budget
}

// connections returns a share of the descriptors, at least one.
func connections(files int64, share float64) int {
	return max(1, int(float64(files-reservedFiles)*share))
}
