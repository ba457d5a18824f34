package main

import (
	_ "embed"
	"encoding/json"
	"text/template"
)

// The files below wire have the words of the users' platform: headers, paths, settings, an entry of the list of servers and the first configuration.
var (
	//go:embed wire/names.json
	namesFile []byte
	//go:embed wire/instance.json
	instanceFile []byte
	//go:embed wire/configuration.json
	configurationFile []byte
	//go:embed wire/settings.toml
	settingsFile string
)

// wireNames are headers, paths and the variable with the path of the settings file.
type wireNames struct {
	SettingsVariable, AttemptID, Deadline, Model, TokenUsage, PromptPrefix, Seal, NotExecuted, TargetInstance, InstanceID, BaseRevision string
	InstancesPath, ReadyPath, LookupPath, ReplacePath, DescribePath, DrainPath                                                          string
}

// names are the words that the stand-ins speak.
var names = mustDecode[wireNames](namesFile)

// settingsTemplate is the settings file of a process.
var settingsTemplate = template.Must(template.New("settings").Parse(settingsFile))

// mustDecode decodes a file that is part of the program.
func mustDecode[Value any](content []byte) Value {
	var value Value
	if err := json.Unmarshal(content, &value); err != nil {
		panic(err)
	}
	return value
}
