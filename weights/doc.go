// Package weights describes model weights as manifests of chunks. A version is
// named by its root digest: the digest of the encoded manifest.
package weights
