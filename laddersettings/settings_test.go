package laddersettings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"lacewingladder/laddersettings"
)

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*-e*.yaml")
	require.NoError(t, err)
	require.Len(t, files, 12)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		_, err = laddersettings.Parse(file, data)
		require.NoError(t, err)
	}
}

func TestPortTwice(t *testing.T) {
	data := []byte(`name: e
region: r
zone: z
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", operators: "127.0.0.1:1"}
store: 127.0.0.1:9
list: nowhere
tls: {authority: a, certificate: c, key: k}
token: t
`)
	_, err := laddersettings.Parse("f", data)
	require.EqualError(t, err, `f:4:67: listen.operators: port 1 is used for "callers" already
f:6:7: list: "nowhere" is not an IP address with a port`)
}

// FuzzParse checks that no settings make [laddersettings.Parse] panic, and that
// accepted settings have a name and a callers' address.
func FuzzParse(f *testing.F) {
	f.Add([]byte("name: e\nlisten: {callers: 127.0.0.1:1}\n"))
	f.Add([]byte("tokens: {m: }"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := laddersettings.Parse("f", data)
		if err == nil && (s.Name == "" || !s.Listen.Callers.IsValid()) {
			t.Fatalf("accepted settings without a name or an address: %q", data)
		}
	})
}
