// Package tools pins the versions of the development tools: the API generator and the linter.
package tools
