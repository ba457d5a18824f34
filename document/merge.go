package document

import "encoding/json"

// merge lays a JSON merge patch over a tree and returns a new tree.
func merge(tree, patch map[string]any) map[string]any {
	merged := map[string]any{}
	for key, value := range tree {
		merged[key] = value
	}
	for key, value := range patch {
		if value == nil {
			delete(merged, key)
			continue
		}
		under, isTree := value.(map[string]any)
		if !isTree {
			merged[key] = value
			continue
		}
		former, _ := merged[key].(map[string]any)
		merged[key] = merge(former, under)
	}
	return merged
}

// MergePatch gives the change that a JSON merge patch (RFC 7386) makes of a document. It costs what the patch touches.
func (document *Document) MergePatch(patch map[string]any) (Change, error) {
	change := Change{}
	failure := document.mergeInto(&change, "", patch, 1)
	return change, failure
}

func (document *Document) mergeInto(change *Change, above string, patch map[string]any, level int) error {
	for name, value := range patch {
		pointer := above + "/" + Escape(name)
		object, isObject := value.(map[string]any)
		switch {
		case value == nil:
			document.removeAll(change, pointer)
		case isObject && level < containerLevels:
			if held, there := document.Part(pointer); !there || held != container {
				change.Put(pointer, container)
			}
			if failure := document.mergeInto(change, pointer, object, level+1); failure != nil {
				return failure
			}
		default:
			if failure := document.mergePart(change, pointer, value); failure != nil {
				return failure
			}
		}
	}
	return nil
}

// removeAll removes a part and all that it holds.
func (document *Document) removeAll(change *Change, pointer string) {
	if document.Has(pointer) {
		change.Remove = append(change.Remove, pointer)
	}
	document.removeHeld(change, pointer)
}

// removeHeld removes what a container holds.
func (document *Document) removeHeld(change *Change, pointer string) {
	document.Under(pointer+"/", func(held, _ string) bool {
		change.Remove = append(change.Remove, held)
		return false
	})
}

// mergePart merges a value that is not split into the part of its name.
func (document *Document) mergePart(change *Change, pointer string, value any) error {
	held, there := document.Part(pointer)
	if object, isObject := value.(map[string]any); isObject {
		former, failure := ParseObject([]byte(held))
		if !there || failure != nil {
			former = nil
		}
		value = merge(former, object)
	}
	content, failure := json.Marshal(value)
	if failure != nil {
		return failure
	}
	if held == container {
		document.removeHeld(change, pointer)
	}
	if !there || held != string(content) {
		change.Put(pointer, string(content))
	}
	return nil
}

// Replace gives the change that puts a value in the place of one member, with all that it held, or makes it anew.
func (document *Document) Replace(value any, names ...string) (Change, error) {
	tree := map[string]any{names[len(names)-1]: value}
	for place := len(names) - 2; place >= 0; place-- {
		tree = map[string]any{names[place]: tree}
	}
	next, failure := FromObject(tree)
	if failure != nil {
		return Change{}, failure
	}
	change, pointer := Change{}, Pointer(names...)
	for level := 1; level < len(names); level++ {
		if above := Pointer(names[:level]...); !document.Has(above) {
			change.Put(above, container)
		}
	}
	change.Join(DiffUnder(pointer+"/", document, next))
	if fresh, _ := next.Part(pointer); !document.holds(pointer, fresh) {
		change.Put(pointer, fresh)
	}
	return change, nil
}

func (document *Document) holds(pointer, value string) bool {
	held, there := document.Part(pointer)
	return there && held == value
}

// Join adds another change that follows this one.
func (change *Change) Join(next Change) {
	for _, pointer := range next.Remove {
		delete(change.Set, pointer)
		change.Remove = append(change.Remove, pointer)
	}
	for pointer, value := range next.Set {
		change.Put(pointer, string(value))
	}
}
