// Package bench is the root of the packages that generate load on the system and
// measure it from outside.
package bench
