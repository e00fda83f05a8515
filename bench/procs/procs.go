// Package procs runs the daemons of the system as separate processes for tests.
// It must not be used in the currantusher binary, which starts no processes.
package procs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const (
	pollInterval = 20 * time.Millisecond
	// maxOutputBytes bounds the output that is kept in memory for one process.
	maxOutputBytes = 1 << 20
)

// Config describes one process.
type Config struct {
	// Name identifies the process in errors.
	Name   string
	Binary string
	Args   []string
	// Env is the environment of the process, in addition to HOME.
	Env []string
}

// Process is a process that runs or has ended.
type Process struct {
	name    string
	cmd     *exec.Cmd
	output  *outputBuffer
	done    chan struct{}
	waitErr error
}

// outputBuffer keeps the most recent output of a process. It is safe for
// concurrent use.
type outputBuffer struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

// Write implements io.Writer.
func (o *outputBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bytes.Len()+len(p) > maxOutputBytes {
		o.bytes.Reset()
	}
	return o.bytes.Write(p)
}

func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bytes.String()
}

// Start starts a process.
func Start(cfg Config) (*Process, error) {
	p := &Process{name: cfg.Name, output: &outputBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(cfg.Binary, cfg.Args...)
	p.cmd.Env = append([]string{"HOME=" + os.TempDir()}, cfg.Env...)
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", cfg.Name, err)
	}
	go func() {
		p.waitErr = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns the most recent output of the process.
func (p *Process) Output() string { return p.output.String() }

// Kill kills the process (SIGKILL) and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause stops the process (SIGSTOP) until Resume. It returns when all threads of
// the process are stopped: the threads stop one after the other, and a thread
// that still runs could answer a request.
func (p *Process) Pause() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return waitUntilStopped(p.cmd.Process.Pid)
}

// Resume continues a paused process (SIGCONT).
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate requests a graceful stop of the process (SIGTERM).
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait waits for the process to end and returns its exit status.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
	case <-ctx.Done():
		return 0, fmt.Errorf("process %s has not ended: %w", p.name, ctx.Err())
	}
	var exitErr *exec.ExitError
	if p.waitErr != nil && !errors.As(p.waitErr, &exitErr) {
		return 0, p.waitErr
	}
	return p.cmd.ProcessState.ExitCode(), nil
}

// WaitHTTP polls a URL until it responds with status 200. It fails when the
// process ends.
func (p *Process) WaitHTTP(ctx context.Context, client *http.Client, url string) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if respondsOK(ctx, client, url) {
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("process %s ended; its output: %s", p.name, p.Output())
		case <-ctx.Done():
			return fmt.Errorf("process %s does not respond with status 200 at %s: %w; its output: %s", p.name, url, ctx.Err(), p.Output())
		case <-ticker.C:
		}
	}
}

func respondsOK(ctx context.Context, client *http.Client, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
