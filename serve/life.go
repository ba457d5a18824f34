package serve

import (
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cedarreel/cedarreel/image"
)

const (
	crashFileName = "crash.txt"
	// maxCrashText bounds what the log quotes of the last crash, in bytes.
	maxCrashText = 2 << 10
	// endingTimeout bounds how long a process that ends waits for its disk to take the reason.
	endingTimeout = 200 * time.Millisecond
)

// lifeRecorder records in the data folder how this life of the process ends, so that the next one can tell.
type lifeRecorder struct {
	files image.Files
	lock  sync.Mutex
	life  image.Life
}

// beginLife logs how the last life of the process on this folder ended, and records that a new one has begun.
func (process *Process) beginLife(folder image.Folder) {
	last := image.LoadLife(folder)
	process.life = &lifeRecorder{files: folder, life: image.Life{Start: last.Start + 1}}
	process.Loop.Count("starts_on_folder", last.Start+1)
	if last.Start > 0 {
		_ = process.Logger.Log("what", "last life", "start", last.Start, "ending", last.Ending, "crash", takeCrashText(folder))
	}
	if file, err := os.OpenFile(filepath.Join(folder.Path, crashFileName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
		_ = debug.SetCrashOutput(file, debug.CrashOptions{})
		_ = file.Close()
	}
	go process.life.save()
}

// takeCrashText returns the beginning of the runtime's report of a crash in the last life, and forgets it.
func takeCrashText(folder image.Folder) string {
	path := filepath.Join(folder.Path, crashFileName)
	file, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer file.Close()
	content, _ := io.ReadAll(io.LimitReader(file, maxCrashText))
	_ = os.Truncate(path, 0)
	return string(content)
}

// save writes the record. Saves wait for each other, so that the last one holds.
func (recorder *lifeRecorder) save() {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	_ = image.SaveLife(recorder.files, recorder.life)
}

// endLife begins to record why the process ends, and closes the channel when that is done.
func (process *Process) endLife(reason string) <-chan bool {
	saved := make(chan bool)
	if process.life == nil {
		close(saved)
		return saved
	}
	go func() {
		defer close(saved)
		process.life.lock.Lock()
		process.life.life.Ending = reason
		process.life.lock.Unlock()
		process.life.save()
	}()
	return saved
}

// awaitSaved waits for a healthy disk, but not for one that is stalled.
func awaitSaved(saved <-chan bool) {
	select {
	case <-saved:
	case <-time.After(endingTimeout):
	}
}
