package main

import (
	"os"
	"path/filepath"
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
