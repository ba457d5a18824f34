package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// plain prints an answer for people: a line a field, a row a list item.
func plain(content []byte) string {
	decoder := json.NewDecoder(strings.NewReader(string(content)))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil {
		return string(content)
	}
	out := &strings.Builder{}
	write(out, "", value)
	return out.String()
}

func write(out *strings.Builder, indent string, value any) {
	switch value := value.(type) {
	case map[string]any:
		names := []string{}
		for name := range value {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			if text, simple := short(value[name]); simple {
				fmt.Fprintf(out, "%s%s: %s\n", indent, name, text)
				continue
			}
			fmt.Fprintf(out, "%s%s:\n", indent, name)
			write(out, indent+"  ", value[name])
		}
	case []any:
		for _, item := range value {
			if text, simple := short(item); simple {
				fmt.Fprintf(out, "%s- %s\n", indent, text)
				continue
			}
			fmt.Fprintf(out, "%s-\n", indent)
			write(out, indent+"  ", item)
		}
	default:
		text, _ := short(value)
		fmt.Fprintf(out, "%s%s\n", indent, text)
	}
}

func short(value any) (string, bool) {
	switch value := value.(type) {
	case map[string]any:
		if len(value) == 0 {
			return "none", true
		}
		parts := []string{}
		for name, part := range value {
			text, simple := short(part)
			if _, nested := part.(map[string]any); !simple || nested {
				return "", false
			}
			parts = append(parts, name+"="+text)
		}
		sort.Strings(parts)
		line := strings.Join(parts, " ")
		return line, len(line) < 160
	case []any:
		parts := []string{}
		for _, part := range value {
			text, simple := short(part)
			if _, nested := part.(map[string]any); !simple || nested {
				return "", false
			}
			parts = append(parts, text)
		}
		if len(parts) == 0 {
			return "none", true
		}
		line := strings.Join(parts, " ")
		return line, len(line) < 160
	}
	return fmt.Sprint(value), true
}
