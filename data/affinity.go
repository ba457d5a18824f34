package data

// affinity remembers which server a session's or a prefix's calls went to, for the keys that were set last.
type affinity struct {
	most   int
	server map[string]string
	order  []string
}

func newAffinity(most int) *affinity { return &affinity{most: most, server: map[string]string{}} }

func (affinity *affinity) set(key, server string) {
	if _, there := affinity.server[key]; !there {
		affinity.order = append(affinity.order, key)
		for len(affinity.order) > affinity.most {
			delete(affinity.server, affinity.order[0])
			affinity.order = affinity.order[1:]
		}
	}
	affinity.server[key] = server
}

// leave moves every session and prefix off a withdrawn server: the next turn goes where it is picked.
func (affinity *affinity) leave(server string) {
	kept := affinity.order[:0]
	for _, key := range affinity.order {
		if affinity.server[key] == server {
			delete(affinity.server, key)
			continue
		}
		kept = append(kept, key)
	}
	affinity.order = kept
}
