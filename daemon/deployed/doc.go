// Package deployed tests entries and agents as they run on the operators'
// platform, against the stand-ins of that platform.
package deployed
