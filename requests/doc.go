// Package requests is under construction.
package requests
