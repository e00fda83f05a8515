// Package bench is the root of the packages that drive the system as callers
// do and measure it from outside.
package bench
