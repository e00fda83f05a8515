// Package report is under construction.
package report
