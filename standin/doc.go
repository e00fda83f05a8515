// Package standin is under construction.
package standin
