package procs

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	// stopTimeout bounds the wait until a process is stopped, which takes
	// microseconds on an idle computer.
	stopTimeout      = 5 * time.Second
	stopPollInterval = time.Millisecond
)

// waitUntilStopped waits until all threads of a process are stopped.
func waitUntilStopped(pid int) error {
	deadline := time.Now().Add(stopTimeout)
	for time.Now().Before(deadline) {
		stopped, err := allThreadsStopped(pid)
		if err != nil || stopped {
			return err
		}
		time.Sleep(stopPollInterval)
	}
	return fmt.Errorf("process %d is not stopped after %s", pid, stopTimeout)
}

func allThreadsStopped(pid int) (bool, error) {
	statPaths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false, err
	}
	if len(statPaths) == 0 {
		return false, fmt.Errorf("process %d has ended", pid)
	}
	for _, path := range statPaths {
		stat, err := os.ReadFile(path)
		if os.IsNotExist(err) {
			// The thread ended after it was listed.
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
