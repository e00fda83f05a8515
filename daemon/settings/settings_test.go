package settings

import (
	"testing"
	"time"

	"github.com/integrii/flaggy"
	"github.com/stretchr/testify/require"
)

type testSettings struct {
	name  string
	count int
	wait  time.Duration
	on    bool
	tags  []string
}

func parseArgs(t *testing.T, args ...string) (testSettings, error) {
	t.Helper()
	var got testSettings
	var set Set
	set.String(&got.name, "name", "none", "a name")
	set.Int(&got.count, "count", 3, "a number")
	set.Duration(&got.wait, "wait", time.Second, "a duration")
	set.Bool(&got.on, "on", "a switch")
	set.Strings(&got.tags, "tag", "tags")
	parser := flaggy.NewParser("test")
	set.Bind(&parser.Subcommand)
	require.NoError(t, parser.ParseArgs(args))
	return got, set.Parse()
}

func TestFlagOverridesEnvironmentOverridesDefault(t *testing.T) {
	got, err := parseArgs(t)
	require.NoError(t, err)
	require.Equal(t, testSettings{name: "none", count: 3, wait: time.Second}, got)

	t.Setenv("CURRANTUSHER_NAME", "from-env")
	t.Setenv("CURRANTUSHER_ON", "true")
	t.Setenv("CURRANTUSHER_TAG", "a,b")
	got, err = parseArgs(t, "--count", "5", "--wait=2s")
	require.NoError(t, err)
	require.Equal(t, testSettings{name: "from-env", count: 5, wait: 2 * time.Second, on: true, tags: []string{"a", "b"}}, got)

	got, err = parseArgs(t, "--name", "from-flag", "--tag", "c")
	require.NoError(t, err)
	require.Equal(t, "from-flag", got.name)
	require.Equal(t, []string{"c"}, got.tags)
}

func TestInvalidValueErrorNamesSetting(t *testing.T) {
	_, err := parseArgs(t, "--wait", "soon")
	require.ErrorContains(t, err, `--wait (CURRANTUSHER_WAIT) "soon"`)

	t.Setenv("CURRANTUSHER_COUNT", "many")
	_, err = parseArgs(t)
	require.ErrorContains(t, err, `CURRANTUSHER_COUNT) "many"`)
}
