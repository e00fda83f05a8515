package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/stretchr/testify/require"

	"currantusher.dev/api/oas"
)

func (d *deployment) revision() int64 {
	response, err := http.Get(d.entries["entry-1"] + "/v1/tables")
	require.NoError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(d.t, err)
	var content oas.Tables
	require.NoError(d.t, content.UnmarshalJSON(body))
	return content.Revision
}

// postEdit sends one edit through an entry and returns its result code.
func (d *deployment) postEdit(ctx context.Context, i int, format string, revision int64) int {
	entry := d.entries[fmt.Sprintf("entry-%d", i%2+1)]
	body := fmt.Sprintf(format, i, revision, i+2)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/edits", strings.NewReader(body))
	if err != nil {
		return -1
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return -1
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		return 0
	}
	var problem oas.Problem
	content, _ := io.ReadAll(response.Body)
	_ = problem.UnmarshalJSON(content)
	return problem.Code
}
