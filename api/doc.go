// Package api holds the OpenAPI description of the callers' and operators' API
// and, in package oas, the client and server that ogen generates from it.
//
// After a change of openapi.yaml run, in the tools module:
//
//	go tool ogen --config ../api/ogen.yaml --package oas --target ../api/oas --clean ../api/openapi.yaml
package api
