package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExplain(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "entry.log")
	line := `{"id":"r-1","instance":"e-1","msg":"Request ended.","time":"2026-01-02T10:00:00.000Z"}` + "\n"
	require.NoError(t, os.WriteFile(file, []byte(line), 0o600))
	require.Equal(t, exitOK, run([]string{"explain", "r-1", file, file}))
	require.Equal(t, exitFailed, run([]string{"explain", "r-2", file}), "no such request")
	require.Equal(t, exitUsage, run([]string{"explain", "r-1", filepath.Join(dir, "none")}))
}

func TestCheckDeploy(t *testing.T) {
	const deployFile = "../../deploy/system.toml"
	require.Equal(t, exitOK, run([]string{"check", "deploy", deployFile}))
	text, err := os.ReadFile(deployFile)
	require.NoError(t, err)
	dir := t.TempDir()
	for name, change := range map[string][2]string{
		"command": {"currantusher gateway", "currantusher gatewy"},
		"setting": {"CURRANTUSHER_METRICS_LISTEN", "CURRANTUSHER_METRIC_LISTEN"},
		"value":   {`CURRANTUSHER_METRICS_LISTEN = "{{ip}}:7710"`, `CURRANTUSHER_DEADLINE = "soon"`},
	} {
		wrong := filepath.Join(dir, name+".toml")
		require.NoError(t, os.WriteFile(wrong, []byte(strings.Replace(string(text), change[0], change[1], 1)), 0o600))
		require.Equal(t, exitUsage, run([]string{"check", "deploy", wrong}), name)
	}
	node := filepath.Join(dir, "node.toml")
	require.NoError(t, os.WriteFile(node, []byte("node = 1\n"), 0o600))
	require.Equal(t, exitUsage, run([]string{"check", "deploy", deployFile, "--node-file", node}))
}
