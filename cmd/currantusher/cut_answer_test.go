package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/api/oas"
	"currantusher.dev/core/cutanswer"
)

func editCut(t *testing.T, answer string, cut cutanswer.Cut) (*oas.EditResult, error) {
	t.Helper()
	server, err := cutanswer.Start(answer[:cut.Bytes], cut.Ending)
	require.NoError(t, err)
	defer server.Close()
	client := &operatorClient{entry: "http://" + server.Addr, token: "token", timeout: operatorTimeout}
	return client.edit(t.Context(), &oas.Edit{})
}

func TestEditWhoseAnswerIsCutAfterAnyByteIsUnknown(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", `{"revision": 7, "changes": []}`
	answers := cutanswer.Framings(head, body)
	answers["unframed"] = cutanswer.Unframed(head, body)
	for framing, answer := range answers {
		t.Run(framing, func(t *testing.T) {
			for _, cut := range cutanswer.Cuts(answer) {
				_, err := editCut(t, answer, cut)
				require.ErrorContains(t, err, "outcome of the edit is unknown", cut)
			}
			result, err := editCut(t, answer, cutanswer.Cut{Bytes: len(answer)})
			require.NoError(t, err)
			require.EqualValues(t, 7, result.Revision)
		})
	}
}
