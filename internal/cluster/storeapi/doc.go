// Package storeapi defines the HTTP API of a store node's admin port: the header fields, bodies and
// limits that the server (package storeadmin), the client (package storeclient) and the nodes use.
package storeapi
