package core

import (
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// ErrorNamespace is the errorx namespace of all errors with a result code.
var ErrorNamespace = errorx.NewNamespace("currantusher")

// ResultError is the errorx type of all errors with a result code.
var ResultError = ErrorNamespace.NewType("result")

var (
	propertyCode       = errorx.RegisterProperty("code")
	propertyExecution  = errorx.RegisterProperty("work")
	propertyRetryAfter = errorx.RegisterProperty("retry_after")
)

// NewRefusal returns an error for a request that was not executed. retryAfter
// is the delay after which the caller may retry; 0 suggests no delay.
func NewRefusal(code Code, retryAfter time.Duration, format string, args ...any) error {
	return ResultError.New(format, args...).
		WithProperty(propertyCode, code).
		WithProperty(propertyExecution, ExecutionNotRun).
		WithProperty(propertyRetryAfter, retryAfter)
}

// NewFailure returns an error with a result code and the execution state of
// the request.
func NewFailure(code Code, execution Execution, format string, args ...any) error {
	return ResultError.New(format, args...).
		WithProperty(propertyCode, code).
		WithProperty(propertyExecution, execution)
}

// Wrap adds a result code and the execution state of the request to cause.
func Wrap(cause error, code Code, execution Execution, format string, args ...any) error {
	return ResultError.Wrap(cause, format, args...).
		WithProperty(propertyCode, code).
		WithProperty(propertyExecution, execution)
}

// CodeOf returns the code of err: CodeOK for nil and CodeInternal for an error
// without a code.
func CodeOf(err error) Code {
	if err == nil {
		return CodeOK
	}
	if code, ok := propertyOf[Code](err, propertyCode); ok {
		return code
	}
	return CodeInternal
}

// CauseCodeOf returns the code of the direct cause of err, or CodeInternal if the cause has
// none. Without a cause it returns the code of err.
func CauseCodeOf(err error) Code {
	var coded *errorx.Error
	if errors.As(err, &coded) && coded.Cause() != nil {
		return CodeOf(coded.Cause())
	}
	return CodeOf(err)
}

// ExecutionOf returns the execution state that err carries: ExecutionRan for
// nil and ExecutionUnknown for an error without one.
func ExecutionOf(err error) Execution {
	if err == nil {
		return ExecutionRan
	}
	execution, _ := propertyOf[Execution](err, propertyExecution)
	return execution
}

// RetryAfterOf returns the delay after which the caller may retry, or 0.
func RetryAfterOf(err error) time.Duration {
	if err == nil {
		return 0
	}
	after, _ := propertyOf[time.Duration](err, propertyRetryAfter)
	return after
}

// DetailOf returns the message of err without its type name.
func DetailOf(err error) string {
	if err == nil {
		return ""
	}
	var coded *errorx.Error
	if errors.As(err, &coded) {
		return coded.Message()
	}
	return err.Error()
}

// DetailWithCausesOf returns the message of err followed by those of its
// causes, without causes whose text is already included.
func DetailWithCausesOf(err error) string {
	text := DetailOf(err)
	var coded *errorx.Error
	for errors.As(err, &coded) && coded.Cause() != nil {
		err = coded.Cause()
		cause := DetailOf(err)
		if !strings.Contains(text, cause) {
			text += ": " + cause
		}
	}
	return text
}

func propertyOf[T any](err error, name errorx.Property) (T, bool) {
	var zero T
	var coded *errorx.Error
	if !errors.As(err, &coded) {
		return zero, false
	}
	value, ok := coded.Property(name)
	if !ok {
		return zero, false
	}
	typed, ok := value.(T)
	return typed, ok
}
