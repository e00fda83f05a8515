package gossip

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// A process that does not know of versions without an age would take one for new.
func TestVersionWithoutAgeIsNotSentAsANewOne(t *testing.T) {
	var message Message
	dated := NewestWeights{Model: "m", Version: 5, Age: time.Second, First: 4}
	message.setWeights([]NewestWeights{dated, {Model: "m", Version: 3, IsUndated: true}, {Model: "m", Version: 0, IsUndated: true}})
	require.Equal(t, []NewestWeights{dated}, message.NewestWeights)
	datagram, err := cbor.Marshal(message)
	require.NoError(t, err)
	var received Message
	require.NoError(t, cbor.Unmarshal(datagram, &received))
	require.Equal(t, []NewestWeights{{Model: "m", Version: 3, IsUndated: true}, dated}, received.weights(), "versions without an age come first")
}
