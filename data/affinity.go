package data

// affinity maps the most recently added session and prefix keys to the server that their calls were sent to.
type affinity struct {
	limit  int
	server map[string]string
	order  []string
}

func newAffinity(limit int) *affinity { return &affinity{limit: limit, server: map[string]string{}} }

// set maps a key to a server and drops the oldest keys beyond the limit.
func (affinity *affinity) set(key, server string) {
	if _, exists := affinity.server[key]; !exists {
		affinity.order = append(affinity.order, key)
		for len(affinity.order) > affinity.limit {
			delete(affinity.server, affinity.order[0])
			affinity.order = affinity.order[1:]
		}
	}
	affinity.server[key] = server
}

// forgetServer removes every key that maps to a withdrawn server, so that their next calls choose a server anew.
func (affinity *affinity) forgetServer(server string) {
	retained := affinity.order[:0]
	for _, key := range affinity.order {
		if affinity.server[key] == server {
			delete(affinity.server, key)
			continue
		}
		retained = append(retained, key)
	}
	affinity.order = retained
}
