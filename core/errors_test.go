package core

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestErrorProperties(t *testing.T) {
	refusal := Refuse(CodeQueueFull, time.Second, "queue of team %q is full", "aare")
	tests := []struct {
		name   string
		err    error
		code   Code
		work   Work
		retry  time.Duration
		detail string
	}{
		{"nil", nil, CodeOK, WorkRan, 0, ""},
		{"refusal", refusal, CodeQueueFull, WorkNotRun, time.Second, `queue of team "aare" is full`},
		{"wrapped outside", fmt.Errorf("send: %w", refusal), CodeQueueFull, WorkNotRun, time.Second, `queue of team "aare" is full`},
		{"plain", errors.New("boom"), CodeInternal, WorkUnknown, 0, "boom"},
		{"fail", Fail(CodeTimeout, WorkUnknown, "late"), CodeTimeout, WorkUnknown, 0, "late"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.code, CodeOf(test.err))
			require.Equal(t, test.work, WorkOf(test.err))
			require.Equal(t, test.retry, RetryAfterOf(test.err))
			if test.name != "wrapped outside" {
				require.Equal(t, test.detail, DetailOf(test.err))
			}
		})
	}
}

func TestExplainNamesEachCauseOnce(t *testing.T) {
	inner := errors.New("weight 0 must be 1 to 1000")
	middle := Wrap(inner, CodeInvalidRow, WorkNotRun, "team %q", "aare")
	require.Equal(t, `team "aare": weight 0 must be 1 to 1000`, ExplainOf(middle))
	outer := Wrap(middle, CodeInvalidRow, WorkNotRun, "%s", ExplainOf(middle))
	require.Equal(t, `team "aare": weight 0 must be 1 to 1000`, ExplainOf(outer))
	require.Equal(t, "plain", ExplainOf(errors.New("plain")))
}

func TestCodesAreListedInOrder(t *testing.T) {
	previous := Code(-1)
	for _, info := range Codes() {
		require.Greater(t, info.Code, previous)
		require.NotEmpty(t, info.Name)
		require.NotEmpty(t, info.Meaning)
		previous = info.Code
	}
}
