// Package storeapi is the HTTP API of a store node's admin port: the header fields, bodies and
// limits that its server (storeadmin), its client (storeclient) and the nodes themselves share.
package storeapi
