// Package tools pins the development tools: the API generator and the linter.
package tools
