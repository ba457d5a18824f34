package image

import "github.com/rotisserie/eris"

// Life is the record of one life of a process, from a start to its end.
type Life struct {
	// Start counts the starts of the process on this folder, from 1 on.
	Start int64 `json:"start"`
	// Ending is why the process ended. It is empty while the process runs, and stays empty if it was killed, crashed or lost its power.
	Ending string `json:"ending,omitempty"`
}

const lifeFileName = "life.json"

// LoadLife returns the record of the last life, which is zero if there is none that can be read.
func LoadLife(files Files) Life {
	life := Life{}
	content, err := files.Read(lifeFileName)
	if err != nil || decodeEnvelope(content, &life) != nil {
		return Life{}
	}
	return life
}

// SaveLife replaces the record.
func SaveLife(files Files, life Life) error {
	err := replaceFile(files, lifeFileName, life)
	if err == nil {
		err = files.SyncFolder()
	}
	return eris.Wrap(err, "life not recorded")
}
