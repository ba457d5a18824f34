package manifest

import (
	"slices"

	"github.com/cedarreel/cedarreel/document"
)

// updateExtra returns the fields at extraPointer after an order's upsert and remove objects. In lists of named items the named ones are
// inserted, replaced or deleted; any other field is replaced as a whole. The result is nil where nothing changes.
func updateExtra(former *document.Document, upsert, remove any) (map[string]any, error) {
	added, _ := upsert.(map[string]any)
	removed, _ := remove.(map[string]any)
	if len(added)+len(removed) == 0 {
		return nil, nil
	}
	next := map[string]any{}
	if text, found := former.Part(extraPointer); found {
		object, err := ParseObject([]byte(text))
		if err != nil {
			return nil, err
		}
		next = object
	}
	for name, value := range removed {
		names, _ := value.([]any)
		if list, ok := next[name].([]any); ok {
			next[name] = slices.DeleteFunc(list, func(item any) bool { return slices.Contains(names, listItemName(item)) })
		}
	}
	for name, value := range added {
		next[name] = upsertItems(next[name], value)
	}
	if len(next) == 0 {
		return nil, nil
	}
	return next, nil
}

// listItemName returns the name of an item, or nil if it has none.
func listItemName(item any) any {
	tree, _ := item.(map[string]any)
	return tree["name"]
}

// upsertItems puts named items into a list, each in place of the one with its name or at the end. Unless both values are lists, value
// replaces the former one.
func upsertItems(former, value any) any {
	list, isList := former.([]any)
	items, ok := value.([]any)
	if !isList || !ok {
		return value
	}
	for _, item := range items {
		name := listItemName(item)
		index := slices.IndexFunc(list, func(existing any) bool { return name != nil && listItemName(existing) == name })
		if index < 0 {
			list = append(list, item)
			continue
		}
		list[index] = item
	}
	return list
}
