package serve

import (
	"errors"
	"reflect"
	"time"

	"github.com/cedarreel/cedarreel/contract"
	"github.com/cedarreel/cedarreel/env"
)

// settingsSettleTime is the time between the two reads of settings that have to agree, since their file may be written meanwhile.
const settingsSettleTime = 10 * time.Millisecond

var errSettingsChange = errors.New("settings change while they are read")

// readSettings reads settings that are whole from a platform's file.
func readSettings(adapter Adapter, kind string) (env.Env, error) {
	settings, err := adapter.Settings(kind)
	if err != nil {
		return settings, err
	}
	time.Sleep(settingsSettleTime)
	again, err := adapter.Settings(kind)
	if err != nil {
		return again, err
	}
	if !reflect.DeepEqual(settings, again) {
		return again, errSettingsChange
	}
	return again, again.ValidateProcess(kind == contract.KindControl)
}

// awaitSettings reads the settings of a process that starts, and waits until they are whole.
func awaitSettings(adapter Adapter, kind string) (env.Env, error) {
	settings, err := retryStart(newLogger(""), "settings", always, func() (env.Env, error) { return readSettings(adapter, kind) })
	starting.identify(settings.Name, settings.StatusAddresses)
	return settings, err
}

// reloadSettings reads the settings again after a SIGHUP, and tries again while they are not whole, until the process stops.
func (process *Process) reloadSettings() (env.Env, error) {
	reason := ""
	return retryUntil(process.stop, always, process.ReloadSettings, func(err error) {
		if err.Error() != reason {
			reason = err.Error()
			_ = process.Logger.Log("what", "settings not reloaded", "why", reason)
		}
	})
}
