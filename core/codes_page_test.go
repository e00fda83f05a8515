package core

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// renderCodes returns the table of docs/RESULT-CODES.md.
func renderCodes() string {
	var b strings.Builder
	b.WriteString("| code | name | HTTP status | meaning |\n|---|---|---|---|\n")
	for _, info := range Codes() {
		fmt.Fprintf(&b, "| %d | %s | %d | %s |\n", info.Code, info.Name, info.HTTPStatus, info.Meaning)
	}
	return b.String()
}

func TestResultCodesPage(t *testing.T) {
	const page = "../docs/RESULT-CODES.md"
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(page, []byte(codesHeader+renderCodes()), 0o644))
	}
	content, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, codesHeader+renderCodes(), string(content), "run with UPDATE_DOCS=1 after a change to the codes")
}

const codesHeader = `# Result codes

Every refusal and failure carries a number, the execution state of the request
(` + "`not-run`, `ran` or `unknown`" + `) and, when the caller may retry later, a
` + "`Retry-After`" + `. Only ` + "`not-run`" + ` permits a retry of a request that is not
idempotent. Numbers are stable.

`
