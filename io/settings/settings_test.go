package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskincross/io/settings"
)

const valid = `
deployment = "mauritius"
name = "entry-1"
zone = "port-louis"

[callers]
listen = "127.0.0.1:7100"

[operators]
listen = "127.0.0.1:7200"

[peers]
listen = "127.0.0.1:7300"
seeds = ["127.0.0.1:7301"]

[platform]
address = "127.0.0.1:7000"
`

// replaceInValid returns the valid settings with the first occurrence of old replaced.
func replaceInValid(old, replacement string) string {
	return strings.Replace(valid, old, replacement, 1)
}

// assertRefused checks that Parse returns one error, with the key and the allowed values.
func assertRefused(t *testing.T, text, key, allowed string) {
	t.Helper()
	is := is.New(t)
	_, err := settings.Parse("entry.toml", text)
	is.True(err != nil)
	message := err.Error()
	is.True(strings.HasPrefix(message, "entry.toml: "))
	is.True(strings.Contains(message, `key "`+key+`"`))
	is.True(strings.Contains(message, allowed))
	is.Equal(strings.Count(message, "\n"), 0) // exactly one problem
}

func TestParse(t *testing.T) {
	t.Run("defaults", func(t *testing.T) {
		is := is.New(t)
		s, err := settings.Parse("entry.toml", valid)
		is.NoErr(err)
		is.Equal(s.Periods.Heartbeat, settings.Duration(2*time.Second))
		is.Equal(s.Logs.Level, "info")
	})
	t.Run("the file's value replaces a default", func(t *testing.T) {
		is := is.New(t)
		s, err := settings.Parse("entry.toml", valid+"[periods]\nheartbeat = \"1s\"\n")
		is.NoErr(err)
		is.Equal(s.Periods.Heartbeat, settings.Duration(time.Second))
	})
}

func TestParseRefuses(t *testing.T) {
	tests := []struct{ name, text, key, allowed string }{
		{"missing key", replaceInValid(`name = "entry-1"`, ""), "name", "lower-case letters"},
		{"malformed name", replaceInValid("entry-1", "Entry 1"), "name", "lower-case letters"},
		{"host name for an address", replaceInValid("127.0.0.1:7000", "platform.example:7000"), "platform.address", "an IP address with a port"},
		{"address without port", replaceInValid("127.0.0.1:7100", "127.0.0.1"), "callers.listen", "an IP address with a port"},
		{"port 0 to dial", replaceInValid("127.0.0.1:7301", "127.0.0.1:0"), "peers.seeds[0]", "an IP address with a port"},
		{"unknown key", valid + "port = 1\n", "platform.port", "address"},
		{"unknown table", valid + "[cache]\n", "cache", "deployment, name, region"},
		{"wrong type", replaceInValid(`listen = "127.0.0.1:7100"`, "listen = 7100"), "callers.listen", "a string"},
		{"number for a duration", valid + "[periods]\nplan = 2\n", "periods.plan", `such as "2s"`},
		{"malformed duration", valid + "[periods]\nplan = \"2 seconds\"\n", "periods.plan", `such as "2s"`},
		{"negative duration", valid + "[periods]\nplan = \"-2s\"\n", "periods.plan", "over 0s"},
		{"lapse within two heartbeats", valid + "[periods]\nlapse = \"4s\"\n", "periods.lapse", "over 5.875s"},
		{"shutdown within linger", valid + "[periods]\nshutdown = \"1s\"\n", "periods.shutdown", "over 3s"},
		{"limit too low", valid + "[limits]\nheader-bytes = 10\n", "limits.header-bytes", "at least 1024"},
		{"limit too high", valid + "[limits]\nheader-bytes = 10000000\n", "limits.header-bytes", "at most 1048576"},
		{"no token off loopback", replaceInValid("127.0.0.1:7200", "10.0.0.1:7200"), "operators.token", "a secret"},
		{"unknown level", valid + "[logs]\nlevel = \"loud\"\n", "logs.level", "debug, info, warn, error"},
		{"unknown subsystem", valid + "[logs]\nsubsystems = [\"ghost\"]\n", "logs.subsystems[0]", "process, request"},
		{"key set twice", replaceInValid("[callers]", "name = \"entry-2\"\n[callers]"), "name", "a string"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assertRefused(t, tt.text, tt.key, tt.allowed) })
	}
	t.Run("plain peers off loopback name all three files", func(t *testing.T) {
		is := is.New(t)
		_, err := settings.Parse("entry.toml", replaceInValid("127.0.0.1:7300", "10.0.0.1:7300"))
		is.Equal(strings.Count(err.Error(), "PEM file"), 3)
	})
}
