package core

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDigestText(t *testing.T) {
	d := DigestOf([]byte("weights"))
	parsed, err := ParseDigest(d.String())
	require.NoError(t, err)
	require.Equal(t, d, parsed)

	for _, bad := range []string{"00", d.String() + "0", "zz" + d.String()[2:]} {
		_, err := ParseDigest(bad)
		require.Error(t, err, bad)
	}
}
