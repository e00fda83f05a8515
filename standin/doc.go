// Package standin contains stand-ins for the operators' platform, the network and
// backend servers, for tests, the demo and experiments.
package standin
