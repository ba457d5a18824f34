package document

import "encoding/json"

// merge applies a JSON merge patch to an object and returns a new object.
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
		nested, isTree := value.(map[string]any)
		if !isTree {
			merged[key] = value
			continue
		}
		former, _ := merged[key].(map[string]any)
		merged[key] = merge(former, nested)
	}
	return merged
}

// MergePatch returns the change that a JSON merge patch (RFC 7386) makes to a document. Its cost depends on the parts that the patch touches.
func (document *Document) MergePatch(patch map[string]any) (Change, error) {
	change := Change{}
	err := document.mergeInto(&change, "", patch, 1)
	return change, err
}

// mergeInto adds to a change what a patch of the object at a pointer and level changes.
func (document *Document) mergeInto(change *Change, parent string, patch map[string]any, level int) error {
	for name, value := range patch {
		pointer := parent + "/" + Escape(name)
		object, isObject := value.(map[string]any)
		switch {
		case value == nil:
			document.removeSubtree(change, pointer)
		case isObject && level < containerLevels:
			if current, found := document.Part(pointer); !found || current != containerValue {
				change.SetPart(pointer, containerValue)
			}
			if err := document.mergeInto(change, pointer, object, level+1); err != nil {
				return err
			}
		default:
			if err := document.mergePart(change, pointer, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// removeSubtree removes a part and all parts below it.
func (document *Document) removeSubtree(change *Change, pointer string) {
	if document.Has(pointer) {
		change.Remove = append(change.Remove, pointer)
	}
	document.removeMembers(change, pointer)
}

// removeMembers removes all parts below a container.
func (document *Document) removeMembers(change *Change, pointer string) {
	document.VisitPrefix(pointer+"/", func(current, _ string) bool {
		change.Remove = append(change.Remove, current)
		return false
	})
}

// mergePart merges a value that is not split into parts of its own into the part at its pointer.
func (document *Document) mergePart(change *Change, pointer string, value any) error {
	current, found := document.Part(pointer)
	if object, isObject := value.(map[string]any); isObject {
		former, err := ParseObject([]byte(current))
		if !found || err != nil {
			former = nil
		}
		value = merge(former, object)
	}
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if current == containerValue {
		document.removeMembers(change, pointer)
	}
	if !found || current != string(content) {
		change.SetPart(pointer, string(content))
	}
	return nil
}

// Replace returns the change that sets the member with a path of names, and all parts below it, to a value. Containers above it are created
// where they are missing.
func (document *Document) Replace(value any, names ...string) (Change, error) {
	tree := map[string]any{names[len(names)-1]: value}
	for index := len(names) - 2; index >= 0; index-- {
		tree = map[string]any{names[index]: tree}
	}
	next, err := FromObject(tree)
	if err != nil {
		return Change{}, err
	}
	change, pointer := Change{}, Pointer(names...)
	for level := 1; level < len(names); level++ {
		if parent := Pointer(names[:level]...); !document.Has(parent) {
			change.SetPart(parent, containerValue)
		}
	}
	change.Append(DiffPrefix(pointer+"/", document, next))
	if fresh, _ := next.Part(pointer); !document.hasValue(pointer, fresh) {
		change.SetPart(pointer, fresh)
	}
	return change, nil
}

// hasValue reports whether a part has a value.
func (document *Document) hasValue(pointer, value string) bool {
	current, found := document.Part(pointer)
	return found && current == value
}

// Append adds another change that is to be applied after this one.
func (change *Change) Append(next Change) {
	for _, pointer := range next.Remove {
		delete(change.Set, pointer)
		change.Remove = append(change.Remove, pointer)
	}
	for pointer, value := range next.Set {
		change.SetPart(pointer, string(value))
	}
}
