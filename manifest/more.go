package manifest

import (
	"slices"

	"github.com/cedarreel/cedarreel/document"
)

// nextMore gives what a gateway section carries without knowing it, after a change by name: of lists of named items those that the change
// names are put in or taken out, and all else that it names replaces the former value. It gives nil where nothing changes.
func nextMore(former *document.Document, upsert, remove any) (map[string]any, error) {
	added, _ := upsert.(map[string]any)
	removed, _ := remove.(map[string]any)
	if len(added)+len(removed) == 0 {
		return nil, nil
	}
	next := map[string]any{}
	if text, there := former.Part(morePart); there {
		held, failure := Tree([]byte(text))
		if failure != nil {
			return nil, failure
		}
		next = held
	}
	for name, value := range removed {
		names, _ := value.([]any)
		if list, fine := next[name].([]any); fine {
			next[name] = slices.DeleteFunc(list, func(item any) bool { return slices.Contains(names, nameOf(item)) })
		}
	}
	for name, value := range added {
		next[name] = putItems(next[name], value)
	}
	if len(next) == 0 {
		return nil, nil
	}
	return next, nil
}

// nameOf gives the name of an item, or nil.
func nameOf(item any) any {
	tree, _ := item.(map[string]any)
	return tree["name"]
}

// putItems puts named items into a list, each in the place of one of its name or at the end; what is no list replaces the former value.
func putItems(former, value any) any {
	list, isList := former.([]any)
	items, fine := value.([]any)
	if !isList || !fine {
		return value
	}
	for _, item := range items {
		name := nameOf(item)
		place := slices.IndexFunc(list, func(held any) bool { return name != nil && nameOf(held) == name })
		if place < 0 {
			list = append(list, item)
			continue
		}
		list[place] = item
	}
	return list
}
