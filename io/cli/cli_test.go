package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const bootText = `
nodeId: edge-1
zone: z1
listen: {frontend: "127.0.0.1:1", readiness: "127.0.0.1:2"}
limits: {memoryMb: 284}
bounds: {graceS: 6, maxHoldMs: 6000}
commands: rpc
platform: {address: "127.0.0.1:3", form: table}
`

func assertExit(t *testing.T, want int, args ...string) string {
	t.Helper()
	is := is.New(t)
	var stderr bytes.Buffer
	root := New()
	root.Writer = &stderr
	root.ErrWriter = &stderr
	got := exitCode(root.Run(context.Background(), append([]string{"siskincross"}, args...)), &stderr)
	is.Equal(got, want)
	return stderr.String()
}

func TestExitCodes(t *testing.T) {
	t.Run("help", func(t *testing.T) { assertExit(t, ExitOK, "--help") })
	t.Run("unknown flag", func(t *testing.T) { assertExit(t, ExitUsage, "--no-such-flag") })
	t.Run("missing argument", func(t *testing.T) { assertExit(t, ExitUsage, "documents") })
	t.Run("check of no file", func(t *testing.T) { assertExit(t, ExitUsage, "check") })
	t.Run("check of boot settings", func(t *testing.T) {
		is := is.New(t)
		path := filepath.Join(t.TempDir(), "boot.yaml")
		is.NoErr(os.WriteFile(path, []byte(bootText), 0o600))
		is.True(strings.Contains(assertExit(t, ExitOK, "check", "--boot", path), "edge-1 in z1 are valid"))
		is.NoErr(os.WriteFile(path, []byte(strings.Replace(bootText, "graceS: 6", "graceS: -6", 1)), 0o600))
		is.True(strings.Contains(assertExit(t, ExitUsage, "check", "--boot", path), "bounds.graceS: -6 is not"))
	})
	t.Run("stale documents", func(t *testing.T) { assertExit(t, ExitFailure, "documents", "--check", t.TempDir()) })
}
