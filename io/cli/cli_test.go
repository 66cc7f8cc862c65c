package cli

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"
)

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
	t.Run("stale documents", func(t *testing.T) { assertExit(t, ExitFailure, "documents", "--check", t.TempDir()) })
}
