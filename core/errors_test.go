package core

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestErrorProperties(t *testing.T) {
	refusal := NewRefusal(CodeQueueFull, time.Second, "queue of team %q is full", "aare")
	tests := []struct {
		name       string
		err        error
		code       Code
		execution  Execution
		retryAfter time.Duration
		detail     string
	}{
		{"nil", nil, CodeOK, ExecutionRan, 0, ""},
		{"refusal", refusal, CodeQueueFull, ExecutionNotRun, time.Second, `queue of team "aare" is full`},
		{"wrapped outside", fmt.Errorf("send: %w", refusal), CodeQueueFull, ExecutionNotRun, time.Second, `queue of team "aare" is full`},
		{"plain", errors.New("boom"), CodeInternal, ExecutionUnknown, 0, "boom"},
		{"fail", NewFailure(CodeTimeout, ExecutionUnknown, "late"), CodeTimeout, ExecutionUnknown, 0, "late"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.code, CodeOf(test.err))
			require.Equal(t, test.execution, ExecutionOf(test.err))
			require.Equal(t, test.retryAfter, RetryAfterOf(test.err))
			if test.name != "wrapped outside" {
				require.Equal(t, test.detail, DetailOf(test.err))
			}
		})
	}
}

func TestDetailWithCausesListsEachCauseOnce(t *testing.T) {
	inner := errors.New("weight 0 must be 1 to 1000")
	middle := Wrap(inner, CodeInvalidRow, ExecutionNotRun, "team %q", "aare")
	require.Equal(t, `team "aare": weight 0 must be 1 to 1000`, DetailWithCausesOf(middle))
	outer := Wrap(middle, CodeInvalidRow, ExecutionNotRun, "%s", DetailWithCausesOf(middle))
	require.Equal(t, `team "aare": weight 0 must be 1 to 1000`, DetailWithCausesOf(outer))
	require.Equal(t, "plain", DetailWithCausesOf(errors.New("plain")))
}

func TestCauseCodeIsThatOfTheDirectCause(t *testing.T) {
	spent := NewRefusal(CodeRetryBudget, 0, "the retry budget is spent")
	require.Equal(t, CodeRetryBudget, CauseCodeOf(Wrap(spent, CodeStreamBroken, ExecutionUnknown, "the stream broke")))
	require.Equal(t, CodeInternal, CauseCodeOf(Wrap(errors.New("reset"), CodeStreamBroken, ExecutionUnknown, "the stream broke")))
	require.Equal(t, CodeRetryBudget, CauseCodeOf(spent))
	require.Equal(t, CodeOK, CauseCodeOf(nil))
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
