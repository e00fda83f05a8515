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
	propertyCode  = errorx.RegisterProperty("code")
	propertyWork  = errorx.RegisterProperty("work")
	propertyRetry = errorx.RegisterProperty("retry_after")
)

// NewRefusal returns an error for work that provably did not run. retryAfter is
// when the caller may come back; 0 means that no time is suggested.
func NewRefusal(code Code, retryAfter time.Duration, format string, args ...any) error {
	return ResultError.New(format, args...).
		WithProperty(propertyCode, code).
		WithProperty(propertyWork, ExecutionNotRun).
		WithProperty(propertyRetry, retryAfter)
}

// NewFailure returns an error with a code and what happened to the work.
func NewFailure(code Code, work Execution, format string, args ...any) error {
	return ResultError.New(format, args...).
		WithProperty(propertyCode, code).
		WithProperty(propertyWork, work)
}

// Wrap adds a code and what happened to the work to cause.
func Wrap(cause error, code Code, work Execution, format string, args ...any) error {
	return ResultError.Wrap(cause, format, args...).
		WithProperty(propertyCode, code).
		WithProperty(propertyWork, work)
}

// CodeOf returns the code of err: CodeOK for nil and CodeInternal for an error
// without a code.
func CodeOf(err error) Code {
	if err == nil {
		return CodeOK
	}
	if code, ok := property[Code](err, propertyCode); ok {
		return code
	}
	return CodeInternal
}

// ExecutionOf returns what happened to the work: WorkRan for nil and WorkUnknown
// for an error that does not say.
func ExecutionOf(err error) Execution {
	if err == nil {
		return ExecutionRan
	}
	work, _ := property[Execution](err, propertyWork)
	return work
}

// RetryAfterOf returns when the caller may come back, or 0.
func RetryAfterOf(err error) time.Duration {
	if err == nil {
		return 0
	}
	after, _ := property[time.Duration](err, propertyRetry)
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

// DetailWithCausesOf returns DetailOf followed by the causes that it does not name yet.
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

func property[T any](err error, name errorx.Property) (T, bool) {
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
