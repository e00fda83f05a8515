// Package weights describes a version of model weights as a manifest of chunks.
// A version is identified by its root digest: the digest of the encoded
// manifest.
package weights
