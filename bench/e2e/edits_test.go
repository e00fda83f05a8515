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

func (d *deployment) currentRevision() int64 {
	response, err := http.Get(d.entryURLs["entry-1"] + "/v1/tables")
	require.NoError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(d.t, err)
	var content oas.Tables
	require.NoError(d.t, content.UnmarshalJSON(body))
	return content.Revision
}

// postEdit sends one edit to an entry. It returns 0 when the edit was accepted,
// the code of the problem when it was refused, and -1 without a response.
func (d *deployment) postEdit(ctx context.Context, editNumber int, format string, revision int64) int {
	entry := d.entryURLs[fmt.Sprintf("entry-%d", editNumber%2+1)]
	body := fmt.Sprintf(format, editNumber, revision, editNumber+2)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/edits", strings.NewReader(body))
	if err != nil {
		return -1
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+operatorToken)
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
