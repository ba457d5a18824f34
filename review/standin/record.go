package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run. Times are since its start.
type record struct {
	lock      sync.Mutex
	startedAt time.Time
	file      *os.File
	writer    *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// now returns the time since the start.
func (record *record) now() time.Duration { return time.Since(record.startedAt) }

// line writes one line with the time and returns that time.
func (record *record) line(format string, values ...any) time.Duration {
	record.lock.Lock()
	defer record.lock.Unlock()
	now := record.now()
	_, _ = fmt.Fprintf(record.writer, "%8.3f %s\n", now.Seconds(), fmt.Sprintf(format, values...))
	_ = record.writer.Flush()
	return now
}

func (record *record) close() {
	record.lock.Lock()
	defer record.lock.Unlock()
	_ = record.writer.Flush()
	_ = record.file.Close()
}
