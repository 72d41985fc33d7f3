package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since its start.
type record struct {
	mu     sync.Mutex
	file   *os.File
	buffer *bufio.Writer
	start  time.Time
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, buffer: bufio.NewWriter(file), start: time.Now()}, nil
}

func (r *record) add(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.buffer, line)
	return line
}

// note adds a line and shows it on standard output too.
func (r *record) note(format string, args ...any) { fmt.Println(r.add(format, args...)) }

// at returns a time as seconds since the start.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.start).Seconds()) }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.buffer.Flush()
	_ = r.file.Close()
}
