package machine

// Detour is the way by relays to a member whose direct link may be cut. A route that worked is used alone until the member answers directly,
// or falls silent on that way too. The zero value is the direct way.
type Detour struct {
	// route is the one that the last answer came by, empty when it came directly.
	route string
	// tried is how often relays were asked in vain since then.
	tried int
}

// Next gives the route to ask by and how often relays were tried in vain before, as ByRelay takes them; an empty route has relays drawn. It
// is false while the member answers directly. Silent tells that the answer to a question is missing.
func (detour *Detour) Next(silent bool) (route string, tried int, needed bool) {
	if !silent {
		detour.tried = 0
		return detour.route, 0, detour.route != ""
	}
	tried = detour.tried
	detour.tried++
	return "", tried, true
}

// Answered notes by which route an answer came. Of answers to one question that was asked both ways, a direct one that was first stays.
func (detour *Detour) Answered(route string, repeated bool) {
	if detour.route != "" || !repeated {
		detour.route = route
	}
}
