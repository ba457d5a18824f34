package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// formatBody formats a JSON answer for reading, with one line for each field or list item. Other text is returned as it is.
func formatBody(content []byte) string {
	decoder := json.NewDecoder(strings.NewReader(string(content)))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil {
		return string(content)
	}
	out := &strings.Builder{}
	writeValue(out, "", value)
	return out.String()
}

// writeValue writes a value on lines with an indent.
func writeValue(out *strings.Builder, indent string, value any) {
	switch value := value.(type) {
	case map[string]any:
		names := []string{}
		for name := range value {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			if text, isShort := formatShort(value[name]); isShort {
				fmt.Fprintf(out, "%s%s: %s\n", indent, name, text)
				continue
			}
			fmt.Fprintf(out, "%s%s:\n", indent, name)
			writeValue(out, indent+"  ", value[name])
		}
	case []any:
		for _, item := range value {
			if text, isShort := formatShort(item); isShort {
				fmt.Fprintf(out, "%s- %s\n", indent, text)
				continue
			}
			fmt.Fprintf(out, "%s-\n", indent)
			writeValue(out, indent+"  ", item)
		}
	default:
		text, _ := formatShort(value)
		fmt.Fprintf(out, "%s%s\n", indent, text)
	}
}

// formatShort formats a value on one line. It returns false if the value is nested or too long for that.
func formatShort(value any) (string, bool) {
	switch value := value.(type) {
	case map[string]any:
		if len(value) == 0 {
			return "none", true
		}
		parts := []string{}
		for name, element := range value {
			text, isShort := formatShort(element)
			if _, nested := element.(map[string]any); !isShort || nested {
				return "", false
			}
			parts = append(parts, name+"="+text)
		}
		sort.Strings(parts)
		line := strings.Join(parts, " ")
		return line, len(line) < 160
	case []any:
		parts := []string{}
		for _, element := range value {
			text, isShort := formatShort(element)
			if _, nested := element.(map[string]any); !isShort || nested {
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
