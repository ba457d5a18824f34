package link

import (
	"encoding"
	"fmt"
	"reflect"
)

// loggable returns a form of a log attribute that logfmt can write. Composite values without a text form of their own are written field by field.
func loggable(value any) any {
	switch value.(type) {
	case nil, error, fmt.Stringer, encoding.TextMarshaler:
		return value
	}
	switch reflect.TypeOf(value).Kind() {
	case reflect.Struct, reflect.Map, reflect.Slice, reflect.Array, reflect.Pointer, reflect.Func, reflect.Chan, reflect.Complex64, reflect.Complex128:
		return fmt.Sprintf("%+v", value)
	}
	return value
}

// loggableAttributes returns the keys and values of a log line in a form that logfmt can write.
func loggableAttributes(attributes []any) []any {
	formatted := make([]any, len(attributes))
	for index, value := range attributes {
		formatted[index] = loggable(value)
	}
	return formatted
}
