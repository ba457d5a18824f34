package emulator

import (
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"github.com/cedarreel/cedarreel/env"
	"github.com/rotisserie/eris"
)

// Change sets one setting of the product, written as "bounds.withdrawMs=3000" or "gateway.repeatRatio=0.1"; durations as "800ms".
type Change struct {
	text  string
	apply func(*env.Env)
}

// ReadChange parses such a text; it fails if the setting does not exist or the value does not fit.
func ReadChange(text string) (Change, error) {
	path, value, found := strings.Cut(text, "=")
	if !found {
		return Change{}, eris.Errorf("%q: want setting=value", text)
	}
	var probe env.Env
	if err := setField(&probe, path, value); err != nil {
		return Change{}, err
	}
	return Change{text: text, apply: func(settings *env.Env) { _ = setField(settings, path, value) }}, nil
}

func setField(settings *env.Env, path, value string) error {
	target := reflect.ValueOf(settings).Elem()
	for _, step := range strings.Split(path, ".") {
		if target.Kind() != reflect.Struct {
			return eris.Errorf("%s: no such setting", path)
		}
		target = target.FieldByNameFunc(func(name string) bool { return strings.EqualFold(name, step) })
		if !target.IsValid() {
			return eris.Errorf("%s: no such setting", path)
		}
	}
	if span, fine := target.Addr().Interface().(*time.Duration); fine {
		read, err := time.ParseDuration(value)
		if err != nil {
			return eris.Wrap(err, path)
		}
		*span = read
		return nil
	}
	return eris.Wrap(json.Unmarshal([]byte(value), target.Addr().Interface()), path)
}
