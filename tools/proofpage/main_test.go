package main

import (
	"strings"
	"testing"
)

func TestRenderPage(t *testing.T) {
	const testOutput = `{"Action":"pass","Package":"p","Test":"TestFaultMatrixX/step_one/killed"}
{"Action":"fail","Package":"p","Test":"TestFaultMatrixX/step_one/paused"}
{"Action":"pass","Package":"p","Test":"TestFaultMatrixX/step_two/killed"}
{"Action":"fail","Package":"p","Test":"TestFaultMatrixX/step_one"}
{"Action":"fail","Package":"p","Test":"TestFaultMatrixX"}
{"Action":"pass","Package":"p","Test":"TestRandomY"}
`
	all, err := readResults(strings.NewReader(testOutput))
	if err != nil {
		t.Fatal(err)
	}
	page := renderPage(all)
	for _, want := range []string{
		"`p`, 3 cells.",
		"| | killed | paused |",
		"| step_one | . | RED |",
		"| step_two | . |  |",
		"| TestRandomY | p | pass |",
	} {
		if !strings.Contains(page, want) {
			t.Errorf("page lacks %q:\n%s", want, page)
		}
	}
}
