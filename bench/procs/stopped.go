package procs

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// stopTimeout bounds the wait for a process to stop, which takes
	// microseconds on an idle machine.
	stopTimeout = 5 * time.Second
	stopPoll    = time.Millisecond
)

// awaitStopped waits until all threads of a process are stopped.
func awaitStopped(pid int) error {
	deadline := time.Now().Add(stopTimeout)
	for time.Now().Before(deadline) {
		stopped, err := isStopped(pid)
		if err != nil || stopped {
			return err
		}
		time.Sleep(stopPoll)
	}
	return fmt.Errorf("process %d is not stopped after %s", pid, stopTimeout)
}

func isStopped(pid int) (bool, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false, err
	}
	if len(threads) == 0 {
		return false, fmt.Errorf("process %d has ended", pid)
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if os.IsNotExist(err) {
			// The thread ended between the list and the reading.
			continue
		}
		if err != nil {
			return false, err
		}
		if !bytes.Contains(stat, []byte(") T ")) {
			return false, nil
		}
	}
	return true, nil
}
