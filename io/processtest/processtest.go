// Package processtest starts the project's own program as separate processes for tests, and reads what they use of the machine.
// It works on Linux only.
package processtest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// exitWait bounds the wait for the end of a process that was killed.
const exitWait = 10 * time.Second

// Process is a running process of the program. It is killed at the end of its test.
type Process struct {
	t       testing.TB
	process *os.Process
	logPath string
	// exited is closed once the process has ended, after state was set.
	exited chan struct{}
	state  *os.ProcessState
}

var build = sync.OnceValues(buildProgram)

// Program returns the path of the program, built without the race detector. It is built once for each test binary.
func Program(t testing.TB) string {
	t.Helper()
	path, err := build()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// buildProgram builds the program into a folder that stays until the machine's temporary files are removed.
func buildProgram() (string, error) {
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	folder, err := os.MkdirTemp("", "siskincross-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "siskincross")
	output, err := os.Create(filepath.Join(folder, "build.log"))
	if err != nil {
		return "", err
	}
	defer output.Close() //nolint:errcheck // it was written by another process
	goCommand, err := lookPath("go")
	if err != nil {
		return "", err
	}
	process, err := os.StartProcess(goCommand, []string{"go", "build", "-o", path, "./cmd/siskincross"}, &os.ProcAttr{
		Dir: root, Env: os.Environ(), Files: []*os.File{nil, output, output},
	})
	if err != nil {
		return "", err
	}
	state, err := process.Wait()
	if err != nil {
		return "", err
	}
	if !state.Success() {
		text, _ := os.ReadFile(output.Name()) // an unreadable log leaves the exit state
		return "", fmt.Errorf("go build: %s: %s", state, text)
	}
	return path, nil
}

// moduleRoot returns the folder with go.mod above the working folder.
func moduleRoot() (string, error) {
	folder, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder, nil
		}
		if parent := filepath.Dir(folder); parent != folder {
			folder = parent
			continue
		}
		return "", os.ErrNotExist
	}
}

// lookPath returns the path of a command in the folders of PATH.
func lookPath(command string) (string, error) {
	for _, folder := range filepath.SplitList(os.Getenv("PATH")) {
		path := filepath.Join(folder, command)
		if info, err := os.Stat(path); err == nil && !info.IsDir() && info.Mode()&0o111 != 0 {
			return path, nil
		}
	}
	return "", fmt.Errorf("%s: %w", command, os.ErrNotExist)
}

// Command says how a process of the program is started.
type Command struct {
	// Program is the path of the program; empty means the project's own, built by Program.
	Program string
	// LogPath is the path of the file that the process appends its output to; empty means a temporary file of the test, whose last
	// lines are printed if the test fails.
	LogPath string
	// Variables are variables in addition to the test's environment.
	Variables []string
	Arguments []string
}

// Start starts the program with arguments and with variables in addition to the test's environment.
func Start(t testing.TB, variables []string, arguments ...string) *Process {
	t.Helper()
	return Command{Variables: variables, Arguments: arguments}.Start(t)
}

// Start starts a process.
func (c Command) Start(t testing.TB) *Process {
	t.Helper()
	program := c.Program
	if program == "" {
		program = Program(t)
	}
	output, err := c.openLog(t)
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close() //nolint:errcheck // it is written by another process
	attributes := &os.ProcAttr{
		Env: append(os.Environ(), c.Variables...), Files: []*os.File{nil, output, output},
		Sys: &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL},
	}
	p := &Process{t: t, logPath: output.Name(), exited: make(chan struct{})}
	started := make(chan error, 1)
	go p.run(program, c.Arguments, attributes, started)
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() && c.LogPath == "" {
			t.Logf("last lines of process %d:\n%s", p.PID(), p.LastLines(40))
		}
	})
	return p
}

// run starts the process and waits until it has ended. It keeps the system thread that starts it, so that the process also ends with a
// test that is killed.
func (p *Process) run(program string, arguments []string, attributes *os.ProcAttr, started chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	process, err := os.StartProcess(program, append([]string{program}, arguments...), attributes)
	p.process = process
	started <- err
	if err != nil {
		return
	}
	p.state, _ = process.Wait() // only fails for a process that was waited for
	close(p.exited)
}

// openLog opens the file for the output of a process.
func (c Command) openLog(t testing.TB) (*os.File, error) {
	if c.LogPath == "" {
		return os.CreateTemp(t.TempDir(), "process-*.log")
	}
	return os.OpenFile(c.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.process.Pid }

// Exited returns a channel that is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal, unless the process has ended.
func (p *Process) Signal(signal syscall.Signal) {
	if p.Running() {
		_ = p.process.Signal(signal) // it may have ended meanwhile
	}
}

// Kill ends the process at once and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	ctx, cancel := context.WithTimeout(context.Background(), exitWait)
	defer cancel()
	select {
	case <-p.exited:
	case <-ctx.Done():
		p.t.Errorf("process %d did not end", p.PID())
	}
}

// LogPath returns the path of the file with what the process wrote.
func (p *Process) LogPath() string { return p.logPath }

// LastLines returns the last lines that the process wrote.
func (p *Process) LastLines(count int) string {
	content, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(content), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-count):], []byte("\n")))
}

// PeakMemory returns the largest resident memory of the process so far in bytes; 0 if the process has ended.
func (p *Process) PeakMemory() int64 { return p.statusBytes("VmHWM:") }

// Memory returns the resident memory of the process in bytes; 0 if the process has ended.
func (p *Process) Memory() int64 { return p.statusBytes("VmRSS:") }

// statusBytes returns a figure of the process's status, which the system states in kilobytes.
func (p *Process) statusBytes(field string) int64 {
	p.t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	defer file.Close() //nolint:errcheck // it was only read
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if rest, ok := strings.CutPrefix(scanner.Text(), field); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			if err != nil {
				p.t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	return 0
}

// Descriptors returns the number of open file descriptors of the process; 0 if it has ended.
func (p *Process) Descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	if err != nil {
		return 0
	}
	return len(entries)
}
