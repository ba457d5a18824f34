// Package line holds bounded lines, one a route, served in turn so that no class starves another.
package line

import "time"

type Lines struct {
	routes  []string
	waiting map[string][]int64
	next    int
	service map[string]time.Duration
}

func New() *Lines {
	return &Lines{waiting: map[string][]int64{}, service: map[string]time.Duration{}}
}

// Join puts a call at the end of its route's line, unless the line is full.
func (lines *Lines) Join(route string, token, most int64) bool {
	if _, there := lines.waiting[route]; !there {
		lines.routes = append(lines.routes, route)
		lines.waiting[route] = nil
	}
	if int64(len(lines.waiting[route])) >= most {
		return false
	}
	lines.waiting[route] = append(lines.waiting[route], token)
	return true
}

func (lines *Lines) Leave(route string, token int64) {
	for place, other := range lines.waiting[route] {
		if other == token {
			lines.waiting[route] = append(lines.waiting[route][:place:place], lines.waiting[route][place+1:]...)
			return
		}
	}
}

// Serve offers the front of each line in turn until none is taken.
func (lines *Lines) Serve(take func(token int64) bool) {
	refused := 0
	for refused < len(lines.routes) {
		lines.next = (lines.next + 1) % len(lines.routes)
		route := lines.routes[lines.next]
		front := lines.waiting[route]
		if len(front) == 0 {
			refused++
			continue
		}
		if !take(front[0]) {
			refused++
			continue
		}
		refused = 0
		lines.Leave(route, front[0])
	}
}

func (lines *Lines) Length(route string) int { return len(lines.waiting[route]) }

func (lines *Lines) Total() int {
	total := 0
	for _, waiting := range lines.waiting {
		total += len(waiting)
	}
	return total
}

const weight = 8

// Served remembers how long calls of a route take, as a moving mean.
func (lines *Lines) Served(route string, took time.Duration) {
	mean, there := lines.service[route]
	if !there {
		lines.service[route] = took
		return
	}
	lines.service[route] = mean + (took-mean)/weight
}

func (lines *Lines) Service(route string) time.Duration { return lines.service[route] }

// Wait estimates how long a call at a place in the line waits while so many run.
func (lines *Lines) Wait(route string, place, running int) time.Duration {
	return lines.service[route] * time.Duration(place+1) / time.Duration(max(1, running))
}
