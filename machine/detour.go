package machine

// RelayPath remembers how to reach a member whose direct link may be cut: directly, or through relays. Once a relay route has worked, only that
// route is used until the member answers directly or stops answering on that route too. The zero value stands for the direct link.
type RelayPath struct {
	// route is the relay route of the last answer, empty when the answer came directly.
	route string
	// failures counts the attempts through relays without an answer since then.
	failures int
}

// Next returns the route and the number of failed attempts to pass to Node.SendByRelay for the next request; with an empty route, new relays are
// chosen. Needed is false while the member answers directly. The caller sets unanswered when the answer to an earlier request is overdue.
func (path *RelayPath) Next(unanswered bool) (route string, failures int, needed bool) {
	if !unanswered {
		path.failures = 0
		return path.route, 0, path.route != ""
	}
	failures = path.failures
	path.failures++
	return "", failures, true
}

// RecordAnswer stores the route by which an answer came, empty for a direct one. AskedBothWays says that the request went directly and through
// relays and was answered before: a relayed answer then does not replace a direct one.
func (path *RelayPath) RecordAnswer(route string, askedBothWays bool) {
	if path.route != "" || !askedBothWays {
		path.route = route
	}
}
