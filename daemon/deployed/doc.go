// Package deployed holds end-to-end tests of the entries and agents for the
// operators' platform, with fakes of that platform.
package deployed
