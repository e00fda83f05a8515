// Package procs runs the system's daemons as separate processes for tests. It
// is no part of the binary: the product itself starts no process.
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
	// maxOutputBytes bounds the output that is kept of one process.
	maxOutputBytes = 1 << 20
)

// Config describes one process.
type Config struct {
	// Name is used in errors.
	Name   string
	Binary string
	Args   []string
	// Env is added to an empty environment.
	Env []string
}

// Process is a running or ended process.
type Process struct {
	name   string
	cmd    *exec.Cmd
	output *output
	done   chan struct{}
	err    error
}

// output keeps the last bytes that a process wrote.
type output struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(part []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bytes.Len()+len(part) > maxOutputBytes {
		o.bytes.Reset()
	}
	return o.bytes.Write(part)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bytes.String()
}

// Start runs the process.
func Start(cfg Config) (*Process, error) {
	p := &Process{name: cfg.Name, output: &output{}, done: make(chan struct{})}
	p.cmd = exec.Command(cfg.Binary, cfg.Args...)
	p.cmd.Env = append([]string{"HOME=" + os.TempDir()}, cfg.Env...)
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", cfg.Name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns what the process wrote last.
func (p *Process) Output() string { return p.output.String() }

// Kill ends the process at once (SIGKILL) and waits for it.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause stops the process (SIGSTOP) until Resume. It returns once no thread of
// it runs any more: the signal takes hold thread by thread, and one that still
// runs may answer a request meanwhile.
func (p *Process) Pause() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return awaitStopped(p.cmd.Process.Pid)
}

// Resume continues a paused process (SIGCONT).
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to stop (SIGTERM).
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Running reports whether the process has not ended.
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
		return 0, fmt.Errorf("%s still runs: %w", p.name, ctx.Err())
	}
	var exit *exec.ExitError
	if p.err != nil && !errors.As(p.err, &exit) {
		return 0, p.err
	}
	return p.cmd.ProcessState.ExitCode(), nil
}

// WaitHTTP polls a URL until it answers 200. It fails when the process ends.
func (p *Process) WaitHTTP(ctx context.Context, client *http.Client, url string) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if answers(ctx, client, url) {
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s ended: %s", p.name, p.Output())
		case <-ctx.Done():
			return fmt.Errorf("%s does not answer at %s: %w: %s", p.name, url, ctx.Err(), p.Output())
		case <-ticker.C:
		}
	}
}

func answers(ctx context.Context, client *http.Client, url string) bool {
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
