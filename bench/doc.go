// Package bench is under construction.
package bench
