package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/cutanswer"
	"currantusher.dev/core/oddstatus"
)

func TestEditAnsweredWithAStatusThatProvesNothingIsUnknown(t *testing.T) {
	for contentType, body := range map[string]string{
		"application/json": `{"revision": 7, "changes": []}`,
		// A refusal by a conflict of revisions.
		"application/problem+json": `{"code": 400, "name": "revision-conflict", "work": "not-run", "detail": ""}`,
	} {
		for line, answer := range oddstatus.WithStatuses("Content-Type: "+contentType+"\r\n", body, 201, 202, 204, 206, 299, 300, 304, 399) {
			t.Run(contentType+"/"+line, func(t *testing.T) {
				_, err := editCut(t, answer, cutanswer.Cut{Bytes: len(answer)})
				require.ErrorContains(t, err, "outcome of the edit is unknown")
			})
		}
	}
}
