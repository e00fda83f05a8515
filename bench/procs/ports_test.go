package procs

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	childPortsEnv  = "PROCS_CHILD_PORTS"
	portsOfOneTest = 2000
)

// runPortsChild prints free ports, and keeps them until its input ends.
func runPortsChild() {
	for range portsOfOneTest {
		addr, err := FreeTCP()
		if err != nil {
			panic(err)
		}
		fmt.Println(addr)
	}
	_, _ = bufio.NewReader(os.Stdin).ReadByte()
	os.Exit(0)
}

// TestProcessesNeverChooseTheSamePort guards against two test processes that
// start their daemons at the same addresses.
func TestProcessesNeverChooseTheSamePort(t *testing.T) {
	chosenBy := map[string]int{}
	for child := range 3 {
		command := exec.CommandContext(t.Context(), os.Args[0])
		command.Env = append(os.Environ(), childPortsEnv+"=1")
		input, err := command.StdinPipe()
		require.NoError(t, err)
		t.Cleanup(func() { _ = input.Close(); _ = command.Wait() })
		output, err := command.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, command.Start())
		lines := bufio.NewScanner(output)
		for range portsOfOneTest {
			require.True(t, lines.Scan())
			other, chosen := chosenBy[lines.Text()]
			require.False(t, chosen, "processes %d and %d chose %s", other, child, lines.Text())
			chosenBy[lines.Text()] = child
		}
	}
}

func TestPortsAreReturnedAgainOnlyAfterAllOthers(t *testing.T) {
	a := portAllocator{dir: t.TempDir()}
	accept := func(string) error { return nil }
	seen := map[string]bool{}
	first, err := a.free(accept)
	require.NoError(t, err)
	seen[first] = true
	for {
		addr, err := a.free(accept)
		require.NoError(t, err)
		if seen[addr] {
			require.Equal(t, first, addr)
			break
		}
		seen[addr] = true
	}
	require.Zero(t, len(seen)%portsPerBlock)
	for _, lock := range a.locks {
		require.NoError(t, lock.Close())
	}
}
