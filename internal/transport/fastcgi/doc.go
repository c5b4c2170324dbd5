// Package fastcgi is the frontend of the platform's balancers: FastCGI 1.0 in the role
// Responder, with up to 32 open requests on a connection. See package frontend for what all
// frontends share and for the goroutines.
package fastcgi
